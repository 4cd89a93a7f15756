package serve

import (
	"context"
	"net"
	"net/http/httptest"
)

// dialTo connects every address to one server.
func dialTo(v *httptest.Server) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, v.Listener.Addr().String())
	}
}

package serve

import (
	"context"
	"net"
	"net/http/httptest"
)

// dialTo returns a dial function that connects to the same server for every
// address.
func dialTo(v *httptest.Server) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, v.Listener.Addr().String())
	}
}

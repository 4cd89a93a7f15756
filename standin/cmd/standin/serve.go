package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const _headerTimeout = 5 * time.Second

// listen serves HTTP on an address with a handler until the context ends.
func listen(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s := http.Server{Handler: h, ReadHeaderTimeout: _headerTimeout}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve %s: %w", address, err)
	}
	return nil
}

package site

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
)

// Serve starts an HTTP server on a free port of a loopback address; an unset address means 127.0.0.1. Like
// httptest.NewServer, it panics if that is not possible.
func Serve(host netip.Addr, handler http.Handler) *httptest.Server {
	if !host.IsValid() {
		return httptest.NewServer(handler)
	}
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		panic(err)
	}
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	return server
}

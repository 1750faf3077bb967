package lifecycle

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ServeHTTP serves requests on the listener until ctx ends, and then waits up to
// shutdownTimeout for requests in progress. Errors include what is served.
func ServeHTTP(ctx context.Context, what string, server *http.Server, l net.Listener, shutdownTimeout time.Duration) error {
	stop := context.AfterFunc(ctx, func() {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		_ = server.Shutdown(c)
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", what)
	}
	return nil
}

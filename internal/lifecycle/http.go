package lifecycle

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// ServeHTTP answers requests on the listener until ctx ends, and then waits up to
// closeWait for those that are under way. The error names what is served.
func ServeHTTP(ctx context.Context, what string, server *http.Server, l net.Listener, closeWait time.Duration) error {
	stop := context.AfterFunc(ctx, func() {
		c, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeWait)
		defer cancel()
		_ = server.Shutdown(c)
	})
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve %s", what)
	}
	return nil
}

package hedge

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fescuelanding/platform"
)

// TestDo makes calls whose attempts end as told: an answer, a refusal, a connection that breaks, or
// silence until the call ends.
func TestDo(t *testing.T) {
	broken, refused := errors.New("connection reset"), &platform.Error{Call: "append", Status: 503}
	for name, c := range map[string]struct {
		// attempts has the error of each attempt; one that stays silent has context.Canceled.
		attempts []error
		made     int
		want     error
	}{
		"answered":                  {[]error{nil}, 1, nil},
		"refused":                   {[]error{refused}, 1, refused},
		"broken":                    {[]error{broken}, 1, broken},
		"silent, then answered":     {[]error{context.Canceled, nil}, 2, nil},
		"silent, then refused":      {[]error{context.Canceled, refused}, 2, refused},
		"silent, broken, answered":  {[]error{context.Canceled, broken, nil}, 3, nil},
		"silent as often as may be": {[]error{context.Canceled, context.Canceled, context.Canceled, context.Canceled, context.Canceled, context.Canceled}, 6, context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			var l Caller
			number := make(chan int, 1)
			number <- 0
			v, err := Do(ctx, &l, func(ctx context.Context) (int, error) {
				n := <-number
				number <- n + 1
				if n >= len(c.attempts) || errors.Is(c.attempts[n], context.Canceled) {
					<-ctx.Done()
					return 0, ctx.Err()
				}
				return n + 1, c.attempts[n]
			})
			made := <-number
			assert.Equal(t, made, c.made)
			if c.want == nil {
				assert.NilError(t, err)
				assert.Equal(t, v, made)
				return
			}
			assert.ErrorIs(t, err, c.want)
		})
	}
}

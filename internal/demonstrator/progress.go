package demonstrator

import (
	"context"
	"io"
	"time"

	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
)

// progressInterval is the time between two updates of the progress bar.
const progressInterval = 100 * time.Millisecond

// showProgress draws a progress bar of the elapsed time until ctx ends.
func showProgress(ctx context.Context, w io.Writer, length time.Duration) {
	p := mpb.NewWithContext(ctx, mpb.WithOutput(w), mpb.WithWidth(50))
	bar := p.AddBar(int64(length/progressInterval),
		mpb.PrependDecorators(decor.Name("demo ")),
		mpb.AppendDecorators(decor.Percentage()),
	)
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				bar.Increment()
			}
		}
	}()
}

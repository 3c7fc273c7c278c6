package demonstrator

import (
	"context"
	"io"
	"time"

	"github.com/vbauerster/mpb/v8"
	"github.com/vbauerster/mpb/v8/decor"
)

// progressStep is the time between two updates of the progress.
const progressStep = 100 * time.Millisecond

// showProgress shows the elapsed part of the run until ctx ends.
func showProgress(ctx context.Context, w io.Writer, length time.Duration) {
	p := mpb.NewWithContext(ctx, mpb.WithOutput(w), mpb.WithWidth(50))
	bar := p.AddBar(int64(length/progressStep),
		mpb.PrependDecorators(decor.Name("demo ")),
		mpb.AppendDecorators(decor.Percentage()),
	)
	go func() {
		ticker := time.NewTicker(progressStep)
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

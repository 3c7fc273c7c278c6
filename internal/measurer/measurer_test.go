package measurer_test

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/measurer"
)

// Guards against a wrong fit, which would hide a cost at the target size. Pulls
// are measured in bytes, which are the same in every run, so the expected fit is
// known: the target is one change above the intercept.
func TestLoadIsFitAtTargetSize(t *testing.T) {
	is := is.New(t)
	report, err := measurer.Run(t.Context(), measurer.Options{
		Only: "^directory: one pull$",
	})
	is.NoErr(err)
	is.Equal(len(report.Lines), 1)
	l := report.Lines[0]
	first, last := l.Values[0], l.Values[len(l.Values)-1]
	is.True(math.Abs(l.Fit.Slope-(last-first)/1000) < 1)
	is.True(math.Abs(l.Load-(l.Fit.Intercept+l.Fit.Slope)*l.Rate) < 1e-9)
	is.True(l.Fit.Residual < 0.01)
}

// Guards against a load above its bound that isn't shown in the text or in the
// JSON form of the report.
func TestExceededBoundIsReported(t *testing.T) {
	report := measurer.Report{
		Lines: []measurer.Line{
			{
				Role:  "voter",
				Load:  3,
				Bound: 2.7,
				Over:  true,
			},
		},
	}
	tests := map[string]struct {
		write func(*bytes.Buffer) error
		want  string
	}{
		"text": {
			write: func(b *bytes.Buffer) error { return report.WriteText(b) },
			want:  "2.7, OVER",
		},
		"json": {
			write: func(b *bytes.Buffer) error { return report.WriteJSON(b) },
			want:  `"over": true`,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var b bytes.Buffer
			is.NoErr(test.write(&b))
			is.True(strings.Contains(b.String(), test.want))
			is.Equal(json.Valid(b.Bytes()), name == "json")
		})
	}
}

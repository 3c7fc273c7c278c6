package measurer

import (
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Report has the results of all probes that were run.
type Report struct {
	Lines []Line `json:"lines"`
}

// Line is one measured cost with its extrapolation to the target size.
type Line struct {
	Role   string `json:"role"`
	Name   string `json:"name"`
	Metric string `json:"metric"`
	// Axis names what the sizes count.
	Axis   string    `json:"axis"`
	Sizes  []int     `json:"sizes"`
	Values []float64 `json:"values"`
	// Unit is the unit of Values: "ns" of processor time or "B".
	Unit string `json:"unit"`
	Fit  Fit    `json:"fit"`
	// TargetSize is the size at which the fit is evaluated.
	TargetSize float64 `json:"target-size"`
	// Rate is how often per second the cost arises; 0 for memory and for a
	// single call.
	Rate     float64 `json:"rate,omitempty"`
	Load     float64 `json:"load"`
	LoadUnit string  `json:"load-unit"`
	// Bound is the highest permitted Load; 0 means that the design sets none.
	Bound float64 `json:"bound,omitempty"`
	Over  bool    `json:"over"`
}

// WriteJSON writes the report as one JSON object.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(r), "measurer: write")
}

// WriteText writes the report as a table.
func (r Report) WriteText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(t, "| role\t| measured\t| sizes\t| values\t| fit (residual)\t| at target\t| load\t| bound\t|")
	_, _ = fmt.Fprintln(t, "| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t| ---\t|")
	for _, l := range r.Lines {
		_, _ = fmt.Fprintln(t, l.row())
	}
	return errors.Wrap(t.Flush(), "measurer: write")
}

func (l Line) row() string {
	columns := []string{
		l.Role,
		l.Name + ", " + l.Metric,
		l.sizes(),
		l.values(),
		fmt.Sprintf("%s + %s n (%.0f%%)", formatValue(l.Fit.Intercept), formatValue(l.Fit.Slope), l.Fit.Residual*100),
		fmt.Sprintf("n = %s: %s %s%s", formatValue(l.TargetSize), formatValue(l.Fit.at(l.TargetSize)), l.Unit, l.rate()),
		formatValue(l.Load) + " " + l.LoadUnit,
		l.bound(),
	}
	return "| " + strings.Join(columns, "\t| ") + "\t|"
}

func (l Line) sizes() string {
	names := make([]string, len(l.Sizes))
	for i, n := range l.Sizes {
		names[i] = strconv.Itoa(n)
	}
	return strings.Join(names, ", ") + " " + l.Axis
}

func (l Line) values() string {
	names := make([]string, len(l.Values))
	for i, v := range l.Values {
		names[i] = formatValue(v)
	}
	return strings.Join(names, ", ") + " " + l.Unit
}

func (l Line) rate() string {
	if l.Rate == 0 {
		return ""
	}
	return " × " + formatValue(l.Rate) + "/s"
}

func (l Line) bound() string {
	switch {
	case l.Bound == 0:
		return "none"
	case l.Over:
		return formatValue(l.Bound) + ", OVER"
	default:
		return formatValue(l.Bound) + ", kept"
	}
}

// formatValue formats v with three significant digits and without an exponent.
func formatValue(v float64) string {
	rounded, _ := strconv.ParseFloat(strconv.FormatFloat(v, 'g', 3, 64), 64)
	return strconv.FormatFloat(rounded, 'f', -1, 64)
}

package loader

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Bytes is an amount of memory in bytes. In files it is written as a whole number
// with a unit, such as "64GiB".
type Bytes int64

// Units of Bytes.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
	TiB Bytes = 1 << 40
)

// MilliCores is an amount of processor capacity in thousandths of a core. In files
// it is written as "16 cores", "1 core" or "500 millicores".
type MilliCores int64

// Rate is a number of requests per second. In files it is written as "200/s".
type Rate int64

// unit is the suffix of a quantity and the number of base units it stands for.
type unit struct {
	suffix string
	factor int64
}

// The first matching suffix is used, so a suffix must come before any other that
// it ends with, such as "GiB" before "B".
var (
	byteUnits = []unit{
		{
			suffix: "TiB",
			factor: int64(TiB),
		},
		{
			suffix: "GiB",
			factor: int64(GiB),
		},
		{
			suffix: "MiB",
			factor: int64(MiB),
		},
		{
			suffix: "KiB",
			factor: int64(KiB),
		},
		{
			suffix: "B",
			factor: 1,
		},
	}
	coreUnits = []unit{
		{
			suffix: "millicores",
			factor: 1,
		},
		{
			suffix: "millicore",
			factor: 1,
		},
		{
			suffix: "cores",
			factor: 1000,
		},
		{
			suffix: "core",
			factor: 1000,
		},
	}
	rateUnits = []unit{
		{
			suffix: "/s",
			factor: 1,
		},
	}
)

// parseQuantity parses a whole number with one of the units and returns it in base
// units. It returns false if the text is malformed or the result overflows.
func parseQuantity(text string, units []unit) (int64, bool) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSuffix(digits, " "), 10, 63)
		if err != nil || int64(n) > math.MaxInt64/u.factor {
			return 0, false
		}
		return int64(n) * u.factor, true
	}
	return 0, false
}

// formatQuantity formats n in the largest unit that divides it.
func formatQuantity(n int64, units []unit) string {
	for _, u := range units {
		if n != 0 && n%u.factor == 0 {
			return fmt.Sprintf("%d%s", n/u.factor, u.suffix)
		}
	}
	return fmt.Sprintf("%d%s", n, units[len(units)-1].suffix)
}

// ParseBytes parses an amount of memory such as "64GiB".
func ParseBytes(text string) (Bytes, error) {
	n, ok := parseQuantity(text, byteUnits)
	if !ok {
		return 0, fmt.Errorf("loader: %q is not an amount of memory such as \"64GiB\"", text)
	}
	return Bytes(n), nil
}

// ParseMilliCores parses an amount of processor capacity such as "16 cores".
func ParseMilliCores(text string) (MilliCores, error) {
	n, ok := parseQuantity(text, coreUnits)
	if !ok {
		return 0, fmt.Errorf("loader: %q is not an amount of processors such as \"16 cores\"", text)
	}
	return MilliCores(n), nil
}

// ParseRate parses a rate such as "200/s".
func ParseRate(text string) (Rate, error) {
	n, ok := parseQuantity(text, rateUnits)
	if !ok {
		return 0, fmt.Errorf("loader: %q is not a rate such as \"200/s\"", text)
	}
	return Rate(n), nil
}

// String returns the amount in the largest unit that divides it.
func (b Bytes) String() string { return formatQuantity(int64(b), byteUnits) }

// String returns the amount in cores if it is a whole number of them, otherwise in
// millicores.
func (m MilliCores) String() string {
	if m%1000 == 0 {
		return fmt.Sprintf("%d cores", m/1000)
	}
	return fmt.Sprintf("%d millicores", m)
}

// String returns the rate with its unit.
func (r Rate) String() string { return formatQuantity(int64(r), rateUnits) }

// UnmarshalText accepts what ParseBytes accepts.
func (b *Bytes) UnmarshalText(text []byte) (err error) {
	*b, err = ParseBytes(string(text))
	return err
}

// MarshalText writes what String returns.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText accepts what ParseMilliCores accepts.
func (m *MilliCores) UnmarshalText(text []byte) (err error) {
	*m, err = ParseMilliCores(string(text))
	return err
}

// MarshalText writes what String returns.
func (m MilliCores) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText accepts what ParseRate accepts.
func (r *Rate) UnmarshalText(text []byte) (err error) {
	*r, err = ParseRate(string(text))
	return err
}

// MarshalText writes what String returns.
func (r Rate) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

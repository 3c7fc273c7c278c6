package loader

import (
	"errors"
	"net/netip"
	"reflect"
	"regexp"
	"sync"

	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// rules returns the validator with the rules of this package. It is built once,
// because it caches what it knows of each type.
var rules = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	for name, rule := range map[string]func(string) bool{
		"name":    namePattern.MatchString,
		"address": isAddress,
		"range":   isRange,
	} {
		// The names and functions are constants, so registration can't fail.
		_ = v.RegisterValidation(name, func(fl validator.FieldLevel) bool { return rule(fl.Field().String()) })
	}
	return v
})

func isAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() != 0
}

func isRange(text string) bool {
	_, err := expandName(text)
	return err == nil
}

// validate reports every field that breaks its own rule.
func (d *document) validate(target any) {
	var faults validator.ValidationErrors
	if err := rules().Struct(target); !errors.As(err, &faults) {
		return
	}
	for _, fault := range faults {
		path := fault.Namespace()
		d.add(path, "%s %s; allowed: %s", d.shown(path), d.fault(path, fault.Tag()), d.allowedAt(path))
	}
}

func (d *document) fault(path, rule string) string {
	v, given := d.values[path]
	switch {
	case !given:
		return "is missing"
	case rule == "unique":
		return "has the same entry twice"
	default:
		return "can't be " + describe(v)
	}
}

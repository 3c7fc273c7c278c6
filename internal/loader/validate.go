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

// structValidator returns the validator with the custom rules of this package. It
// is created only once, because a validator caches the rules of each type.
var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("json") })
	for name, rule := range map[string]func(string) bool{
		"name":    namePattern.MatchString,
		"address": isAddress,
		"range":   isHostRange,
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

func isHostRange(text string) bool {
	_, err := expandName(text)
	return err == nil
}

// validate reports every field that violates the rule in its struct tag.
func (d *document) validate(target any) {
	var violations validator.ValidationErrors
	if err := structValidator().Struct(target); !errors.As(err, &violations) {
		return
	}
	for _, violation := range violations {
		path := violation.Namespace()
		d.add(path, "%s %s; allowed: %s", d.displayPath(path), d.violationText(path, violation.Tag()), d.allowedValues(path))
	}
}

// violationText describes how the value of the path violates the rule.
func (d *document) violationText(path, rule string) string {
	v, given := d.values[path]
	switch {
	case !given:
		return "is missing"
	case rule == "unique":
		return "has the same entry twice"
	default:
		return "can't be " + displayValue(v)
	}
}

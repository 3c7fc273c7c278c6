package loader

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Description documents one member of the settings file.
type Description struct {
	// Path is the path of the member, such as "limits.body". The path of a member
	// within a list contains "[]".
	Path string `json:"setting"`
	// Default is the default value, "needed" if the member must be given, or
	// "none" if it may be omitted.
	Default string `json:"default"`
	Allowed string `json:"allowed"`
}

// Describe returns all members of the settings file except those that only group
// others, in the order of the fields of Settings.
func Describe() []Description {
	// Lists and pointers get one element, so that the members in them are found.
	sample := DefaultSettings()
	sample.Peers = []Peer{{}}
	sample.TLS.HTTP = &Certificate{}
	sample.TLS.Peers = &Certificate{}
	needed := withoutDefault(sample)
	var descriptions []Description
	for _, m := range members("Settings", reflect.TypeFor[Settings]()) {
		if m.field.Tag.Get("allow") == "an object" {
			continue
		}
		d := Description{
			Path:    strings.TrimPrefix(m.path, "Settings."),
			Default: "needed",
			Allowed: m.field.Tag.Get("allow"),
		}
		if !needed[m.path] {
			d.Default = defaultAt(reflect.ValueOf(sample), m.path)
		}
		descriptions = append(descriptions, d)
	}
	return descriptions
}

// withoutDefault returns the paths of members that must be given: those for which
// the sample settings violate a rule.
func withoutDefault(sample Settings) map[string]bool {
	paths := map[string]bool{
		"Settings.peers": true,
	}
	violations, _ := structValidator().Struct(sample).(validator.ValidationErrors)
	for _, violation := range violations {
		paths[indexPattern.ReplaceAllString(violation.Namespace(), "[]")] = true
	}
	return paths
}

// defaultAt returns the default of a member as it would be written in the file.
func defaultAt(v reflect.Value, path string) string {
	for _, name := range strings.Split(path, ".")[1:] {
		name, inList := strings.CutSuffix(name, "[]")
		v = fieldByJSONName(reflect.Indirect(v), name)
		if inList {
			v = v.Index(0)
		}
	}
	switch value := v.Interface().(type) {
	case int:
		return fmt.Sprint(value)
	case time.Duration:
		text := value.String()
		if whole, ok := strings.CutSuffix(text, "m0s"); ok {
			text = whole + "m"
		}
		return fmt.Sprintf("%q", text)
	case fmt.Stringer:
		return fmt.Sprintf("%q", value.String())
	case string:
		if value != "" {
			return fmt.Sprintf("%q", value)
		}
	}
	return "none"
}

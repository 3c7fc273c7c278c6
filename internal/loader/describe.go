package loader

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
)

// Description tells of one member of the settings file.
type Description struct {
	// Path of the member, such as "limits.body"; a member of a list has "[]".
	Path string `json:"setting"`
	// Default is "needed" for a member without one.
	Default string `json:"default"`
	Allowed string `json:"allowed"`
}

// Describe returns all members of the settings file that hold a value, in the
// order of the type.
func Describe() []Description {
	// One element in each list and pointer makes their members known.
	sample := DefaultSettings()
	sample.Peers = []Peer{{}}
	sample.TLS.HTTP = &Certificate{}
	sample.TLS.Peers = &Certificate{}
	needed := missing(sample)
	var found []Description
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
		found = append(found, d)
	}
	return found
}

// missing returns the paths of members that have no default.
func missing(sample Settings) map[string]bool {
	paths := map[string]bool{
		"Settings.peers": true,
	}
	faults, _ := rules().Struct(sample).(validator.ValidationErrors)
	for _, fault := range faults {
		paths[indices.ReplaceAllString(fault.Namespace(), "[]")] = true
	}
	return paths
}

// defaultAt returns the default of a member in the form of the file.
func defaultAt(v reflect.Value, path string) string {
	for _, name := range strings.Split(path, ".")[1:] {
		name, inList := strings.CutSuffix(name, "[]")
		v = fieldNamed(reflect.Indirect(v), name)
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

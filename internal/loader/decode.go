package loader

import (
	"encoding"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

var durationType = reflect.TypeFor[time.Duration]()

func (d *document) decodeRoot(v *hujson.Value, target any) {
	d.decode(d.root, v, reflect.ValueOf(target).Elem())
}

// decode stores v in target. It reports each value of a wrong type or form and
// continues with the next one.
func (d *document) decode(path string, v *hujson.Value, target reflect.Value) {
	d.values[path] = v
	unmarshaler, isUnmarshaler := target.Addr().Interface().(encoding.TextUnmarshaler)
	switch {
	case target.Type() == durationType:
		d.decodeDuration(path, v, target)
	case isUnmarshaler:
		if s, ok := d.decodeText(path, v); ok && unmarshaler.UnmarshalText([]byte(s)) != nil {
			d.addInvalidValue(path, v)
		}
	default:
		d.decodeKind(path, v, target)
	}
}

func (d *document) decodeKind(path string, v *hujson.Value, target reflect.Value) {
	switch target.Kind() {
	case reflect.Struct:
		d.decodeObject(path, v, target)
	case reflect.Slice:
		d.decodeArray(path, v, target)
	case reflect.Pointer:
		inner := reflect.New(target.Type().Elem())
		d.decode(path, v, inner.Elem())
		target.Set(inner)
	case reflect.String:
		if s, ok := d.decodeText(path, v); ok {
			target.SetString(s)
		}
	case reflect.Bool:
		literal, _ := v.Value.(hujson.Literal)
		if kind := literal.Kind(); kind != 't' && kind != 'f' {
			d.addInvalidValue(path, v)
			return
		}
		target.SetBool(literal.Bool())
	default:
		d.decodeNumber(path, v, target)
	}
}

func (d *document) decodeObject(path string, v *hujson.Value, target reflect.Value) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		d.addInvalidValue(path, v)
		return
	}
	seen := make(map[string]bool, len(object.Members))
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		field := fieldByJSONName(target, name)
		switch {
		case !field.IsValid():
			d.addAt(m.Name.StartOffset, "%s is not known; allowed: %s", d.displayPath(path+"."+name), jsonNames(target.Type()))
		case seen[name]:
			d.addAt(m.Name.StartOffset, "%s is given twice; allowed: once", d.displayPath(path+"."+name))
		default:
			d.decode(path+"."+name, &m.Value, field)
		}
		seen[name] = true
	}
}

func (d *document) decodeArray(path string, v *hujson.Value, target reflect.Value) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		d.addInvalidValue(path, v)
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decode(path+"["+strconv.Itoa(i)+"]", &array.Elements[i], target.Index(i))
	}
}

func (d *document) decodeDuration(path string, v *hujson.Value, target reflect.Value) {
	s, ok := d.decodeText(path, v)
	if !ok {
		return
	}
	duration, err := time.ParseDuration(s)
	if err != nil {
		d.addInvalidValue(path, v)
		return
	}
	target.SetInt(int64(duration))
}

func (d *document) decodeNumber(path string, v *hujson.Value, target reflect.Value) {
	literal, _ := v.Value.(hujson.Literal)
	var n int64
	if literal.Kind() != '0' || json.Unmarshal(literal, &n) != nil {
		d.addInvalidValue(path, v)
		return
	}
	target.SetInt(n)
}

// decodeText returns the value of a JSON string. Any other value is reported.
func (d *document) decodeText(path string, v *hujson.Value) (string, bool) {
	literal, _ := v.Value.(hujson.Literal)
	if literal.Kind() != '"' {
		d.addInvalidValue(path, v)
		return "", false
	}
	return literal.String(), true
}

// addInvalidValue reports a value of a wrong type or form.
func (d *document) addInvalidValue(path string, v *hujson.Value) {
	d.add(path, "%s can't be %s; allowed: %s", d.displayPath(path), displayValue(v), d.allowedValues(path))
}

// displayValue returns a JSON value as it is shown in problems.
func displayValue(v *hujson.Value) string {
	switch value := v.Value.(type) {
	case *hujson.Object:
		return "an object"
	case *hujson.Array:
		return "a list"
	case hujson.Literal:
		// Long values are truncated to keep the message readable.
		const maxDisplayBytes = 60
		if len(value) > maxDisplayBytes {
			return string(value[:maxDisplayBytes]) + "..."
		}
		return string(value)
	default:
		return "empty"
	}
}

// fieldByJSONName returns the field with the given JSON name, or the zero Value.
func fieldByJSONName(target reflect.Value, name string) reflect.Value {
	t := target.Type()
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return target.Field(i)
		}
	}
	return reflect.Value{}
}

// jsonNames returns the sorted JSON names of the fields of t, separated by commas.
func jsonNames(t reflect.Type) string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, t.Field(i).Tag.Get("json"))
	}
	slices.Sort(names)
	return strings.Join(names, ", ")
}

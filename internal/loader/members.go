package loader

import "reflect"

// member is one field of a settings type with its path.
type member struct {
	path  string
	field reflect.StructField
}

// members returns the fields of struct type t and of the structs within it. A
// list has "[]" in the paths of what it holds.
func members(path string, t reflect.Type) []member {
	var found []member
	for i := range t.NumField() {
		field := t.Field(i)
		m := member{
			path:  path + "." + field.Tag.Get("json"),
			field: field,
		}
		found = append(found, m)
		if inner := elementOf(field.Type); inner.Kind() == reflect.Struct {
			found = append(found, members(m.innerPath(), inner)...)
		}
	}
	return found
}

// innerPath is where the members of the field's type are.
func (m member) innerPath() string {
	if m.field.Type.Kind() == reflect.Slice {
		return m.path + "[]"
	}
	return m.path
}

// elementOf strips pointers and slices.
func elementOf(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

package loader

import "reflect"

// member is a struct field with its path in the file.
type member struct {
	path  string
	field reflect.StructField
}

// members returns the fields of struct type t and, recursively, those of structs
// within it. The paths of members within a list contain "[]".
func members(path string, t reflect.Type) []member {
	var found []member
	for i := range t.NumField() {
		field := t.Field(i)
		m := member{
			path:  path + "." + field.Tag.Get("json"),
			field: field,
		}
		found = append(found, m)
		if inner := elementType(field.Type); inner.Kind() == reflect.Struct {
			found = append(found, members(m.innerPath(), inner)...)
		}
	}
	return found
}

// innerPath returns the path prefix of the members within the field.
func (m member) innerPath() string {
	if m.field.Type.Kind() == reflect.Slice {
		return m.path + "[]"
	}
	return m.path
}

// elementType returns t without any pointer and slice types around it.
func elementType(t reflect.Type) reflect.Type {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	return t
}

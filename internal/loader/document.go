package loader

import (
	"bytes"
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// document is one file while it is decoded and checked.
type document struct {
	file string
	data []byte
	// values maps the path of each value in the file, such as
	// "Settings.peers[0].name", to the value. The paths have the form of
	// validator namespaces.
	values map[string]*hujson.Value
	// faulty has the paths that a problem was reported for. A later check of
	// the same value would only report a consequence.
	faulty map[string]bool
	// allowed maps the paths of members to allowed values.
	allowed map[string]string
	root    string
	// broken is true when the file is not JSON at all.
	broken   bool
	problems Problems
}

func newDocument(file string, data []byte, target any) *document {
	t := reflect.TypeOf(target).Elem()
	doc := &document{
		file:    file,
		data:    data,
		values:  make(map[string]*hujson.Value),
		faulty:  make(map[string]bool),
		allowed: make(map[string]string),
		root:    t.Name(),
	}
	doc.allowed[doc.root] = "an object"
	for _, m := range members(t.Name(), t) {
		doc.allowed[m.path] = m.field.Tag.Get("allow")
	}
	return doc
}

// addAt reports a problem at a byte offset.
func (d *document) addAt(offset int, format string, args ...any) {
	before := d.data[:min(offset, len(d.data))]
	d.problems = append(d.problems, Problem{
		File:   d.file,
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: len(before) - bytes.LastIndexByte(before, '\n'),
		Text:   fmt.Sprintf(format, args...),
	})
}

// add reports a problem at the value of the path, or at the closest value
// around it when the file doesn't have it.
func (d *document) add(path, format string, args ...any) {
	if d.faulty[path] {
		return
	}
	d.faulty[path] = true
	d.addAt(d.offset(path), format, args...)
}

func (d *document) offset(path string) int {
	for path != "" {
		if v, ok := d.values[path]; ok {
			return v.StartOffset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// shown is the path as users know it, without the name of the Go type.
func (d *document) shown(path string) string {
	return strings.TrimPrefix(path, d.root+".")
}

var indices = regexp.MustCompile(`\[\d+\]`)

func (d *document) allowedAt(path string) string {
	path = indices.ReplaceAllString(path, "[]")
	// An entry of a list of texts is described with the list.
	return d.allowed[strings.TrimSuffix(path, "[]")]
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// addSyntax reports a file that is not JSON. The parser stops at the first fault.
func (d *document) addSyntax(err error) {
	d.broken = true
	problem := fileProblem(d.file, err.Error())
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		problem.Line, _ = strconv.Atoi(m[1])
		problem.Column, _ = strconv.Atoi(m[2])
		problem.Text = m[3]
	}
	problem.Text += "; allowed: JSON with comments"
	d.problems = append(d.problems, problem)
}

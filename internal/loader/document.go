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

// document is the state of decoding and checking one file.
type document struct {
	file string
	data []byte
	// values holds each value in the file by its path, such as
	// "Settings.peers[0].name". Paths have the form of validator namespaces.
	values map[string]*hujson.Value
	// reported holds the paths for which a problem was reported. Further problems
	// of the same value are only consequences and are left out.
	reported map[string]bool
	// allowed holds the description of the allowed values by the path of the
	// member, with "[]" for any index.
	allowed map[string]string
	// root is the name of the target's Go type, with which all paths begin.
	root string
	// notJSON is set if the file has a syntax error, so nothing was decoded.
	notJSON  bool
	problems Problems
}

func newDocument(file string, data []byte, target any) *document {
	t := reflect.TypeOf(target).Elem()
	doc := &document{
		file:     file,
		data:     data,
		values:   make(map[string]*hujson.Value),
		reported: make(map[string]bool),
		allowed:  make(map[string]string),
		root:     t.Name(),
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

// add reports a problem at the value of the path, or at the innermost enclosing
// value if the file doesn't contain it. Only the first problem of each path is
// reported.
func (d *document) add(path, format string, args ...any) {
	if d.reported[path] {
		return
	}
	d.reported[path] = true
	d.addAt(d.closestOffset(path), format, args...)
}

// closestOffset returns the byte offset of the value of the path, or of the
// innermost enclosing value that the file contains.
func (d *document) closestOffset(path string) int {
	for path != "" {
		if v, ok := d.values[path]; ok {
			return v.StartOffset
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

// displayPath returns the path without the name of the Go type, which users don't
// know.
func (d *document) displayPath(path string) string {
	return strings.TrimPrefix(path, d.root+".")
}

var indexPattern = regexp.MustCompile(`\[\d+\]`)

// allowedValues returns the description of the allowed values for the path.
func (d *document) allowedValues(path string) string {
	path = indexPattern.ReplaceAllString(path, "[]")
	// The elements of a list of strings share the description of the list.
	return d.allowed[strings.TrimSuffix(path, "[]")]
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column (\d+): (.*)`)

// addSyntaxProblem reports a syntax error. There is only one, because the parser
// stops at the first error.
func (d *document) addSyntaxProblem(err error) {
	d.notJSON = true
	problem := fileProblem(d.file, err.Error())
	if m := syntaxPosition.FindStringSubmatch(err.Error()); m != nil {
		problem.Line, _ = strconv.Atoi(m[1])
		problem.Column, _ = strconv.Atoi(m[2])
		problem.Text = m[3]
	}
	problem.Text += "; allowed: JSON with comments"
	d.problems = append(d.problems, problem)
}

// Package loader reads the settings file of an entry host, the deployment file
// that initializes an empty control state, and contract files. All are JSON with
// comments. Unknown object members are errors. All problems of a file are
// reported at once, with their positions.
//
// All functions are safe for concurrent use.
package loader

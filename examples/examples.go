// Package examples embeds the deployment files of the example deployments, so
// that programs can use them without the source tree.
package examples

import "embed"

//go:embed qhapaq/deployment.jsonc khomas/deployment.jsonc
var files embed.FS

// Deployment returns the deployment file of "qhapaq" or "khomas", and its path
// for use in error messages. It returns false for any other name.
func Deployment(name string) (path string, data []byte, ok bool) {
	path = name + "/deployment.jsonc"
	data, err := files.ReadFile(path)
	return "examples/" + path, data, err == nil
}

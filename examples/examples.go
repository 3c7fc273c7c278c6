// Package examples holds the deployment files of the example deployments, so
// that programs can use them without the source tree.
package examples

import "embed"

//go:embed qhapaq/deployment.jsonc khomas/deployment.jsonc
var files embed.FS

// Deployment returns the deployment file of "qhapaq" or "khomas" and the path
// that problems name it by; it reports false for any other name.
func Deployment(name string) (path string, data []byte, ok bool) {
	path = name + "/deployment.jsonc"
	data, err := files.ReadFile(path)
	return "examples/" + path, data, err == nil
}

package loader

import (
	"os"
	"path/filepath"

	"github.com/tailscale/hujson"
)

// maxFileBytes limits the size of settings and deployment files. A deployment
// file that lists 6,600 hosts singly has about 2 MiB.
const maxFileBytes = 16 << 20

// ReadSettings reads the settings file at path. Members that the file does not
// contain have their defaults. The settings are valid only if there are no
// problems.
func ReadSettings(path string) (Settings, Problems) {
	data, problems := readFile(path)
	if problems != nil {
		return Settings{}, problems
	}
	return ParseSettings(path, data)
}

// ParseSettings is like ReadSettings but takes the content of the file. The path
// is used in problems, and relative paths in the settings are resolved against
// its directory.
func ParseSettings(path string, data []byte) (Settings, Problems) {
	settings := DefaultSettings()
	doc := parse(path, data, &settings)
	if !doc.notJSON {
		doc.validate(&settings)
		doc.checkSettings(settings)
	}
	settings = settings.withResolvedPaths(filepath.Dir(path))
	return settings, doc.problems.sorted()
}

// ReadDeployment reads the deployment file at path. The deployment is valid only
// if there are no problems.
func ReadDeployment(path string) (Deployment, Problems) {
	data, problems := readFile(path)
	if problems != nil {
		return Deployment{}, problems
	}
	return ParseDeployment(path, data)
}

// ParseDeployment is like ReadDeployment but takes the content of the file; path
// is used in problems only.
func ParseDeployment(path string, data []byte) (Deployment, Problems) {
	var deployment Deployment
	doc := parse(path, data, &deployment)
	if !doc.notJSON {
		doc.validate(&deployment)
		doc.checkDeployment(deployment)
	}
	return deployment, doc.problems.sorted()
}

func readFile(path string) ([]byte, Problems) {
	info, err := os.Stat(path)
	if err == nil && info.Size() > maxFileBytes {
		return nil, Problems{fileProblem(path, "the file is larger than 16 MiB; allowed: a smaller file")}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Problems{fileProblem(path, "the file can't be read: "+err.Error()+"; allowed: a readable file")}
	}
	return data, nil
}

func fileProblem(path, text string) Problem {
	return Problem{
		File:   path,
		Line:   1,
		Column: 1,
		Text:   text,
	}
}

// parse decodes data into target, which must be a pointer to a struct.
func parse(path string, data []byte, target any) *document {
	doc := newDocument(path, data, target)
	root, err := hujson.Parse(data)
	if err != nil {
		doc.addSyntaxProblem(err)
		return doc
	}
	doc.decodeRoot(&root, target)
	return doc
}

// withResolvedPaths returns the settings with relative paths resolved against the
// folder of the settings file.
func (s Settings) withResolvedPaths(folder string) Settings {
	resolve := func(path string) string {
		if path == "" || filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(folder, path)
	}
	s.DataFolder = resolve(s.DataFolder)
	s.Bootstrap = resolve(s.Bootstrap)
	s.TLS.HTTP = s.TLS.HTTP.withResolvedPaths(resolve)
	s.TLS.Peers = s.TLS.Peers.withResolvedPaths(resolve)
	return s
}

func (c *Certificate) withResolvedPaths(resolve func(string) string) *Certificate {
	if c == nil {
		return nil
	}
	return &Certificate{
		Certificate: resolve(c.Certificate),
		Key:         resolve(c.Key),
		CA:          resolve(c.CA),
	}
}

package loader

import (
	"os"
	"path/filepath"

	"github.com/tailscale/hujson"
)

// maxFileBytes bounds a settings or deployment file. A deployment of 6,600
// single hosts takes about 2 MiB.
const maxFileBytes = 16 << 20

// ReadSettings reads the settings file at path. Members that the file does
// not name have their defaults. The settings are usable only without problems.
func ReadSettings(path string) (Settings, Problems) {
	data, problems := readFile(path)
	if problems != nil {
		return Settings{}, problems
	}
	return ParseSettings(path, data)
}

// ParseSettings is ReadSettings for data that is in memory; path names it in
// problems and is where relative paths start.
func ParseSettings(path string, data []byte) (Settings, Problems) {
	settings := DefaultSettings()
	doc := parse(path, data, &settings)
	if !doc.broken {
		doc.validate(&settings)
		doc.checkSettings(settings)
	}
	settings = settings.withPathsFrom(filepath.Dir(path))
	return settings, doc.problems.sorted()
}

// ReadDeployment reads the deployment file at path. The deployment is usable
// only without problems.
func ReadDeployment(path string) (Deployment, Problems) {
	data, problems := readFile(path)
	if problems != nil {
		return Deployment{}, problems
	}
	return ParseDeployment(path, data)
}

// ParseDeployment is ReadDeployment for data that is in memory; path names it
// in problems.
func ParseDeployment(path string, data []byte) (Deployment, Problems) {
	var deployment Deployment
	doc := parse(path, data, &deployment)
	if !doc.broken {
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

// parse decodes data into target, a pointer to a struct.
func parse(path string, data []byte, target any) *document {
	doc := newDocument(path, data, target)
	root, err := hujson.Parse(data)
	if err != nil {
		doc.addSyntax(err)
		return doc
	}
	doc.decodeRoot(&root, target)
	return doc
}

// withPathsFrom resolves relative paths against the folder of the settings file.
func (s Settings) withPathsFrom(folder string) Settings {
	resolve := func(path string) string {
		if path == "" || filepath.IsAbs(path) {
			return path
		}
		return filepath.Join(folder, path)
	}
	s.DataFolder = resolve(s.DataFolder)
	s.Bootstrap = resolve(s.Bootstrap)
	s.TLS.HTTP = s.TLS.HTTP.with(resolve)
	s.TLS.Peers = s.TLS.Peers.with(resolve)
	return s
}

func (c *Certificate) with(resolve func(string) string) *Certificate {
	if c == nil {
		return nil
	}
	return &Certificate{
		Certificate: resolve(c.Certificate),
		Key:         resolve(c.Key),
		CA:          resolve(c.CA),
	}
}

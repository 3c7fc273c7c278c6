// Package dashboard serves the operators' status page: one HTML page, one
// stylesheet and one script, all embedded in the program.
//
// The files hold no state of the deployment and need no key. The script in the
// browser reads GET /v1/status with the key that the operator enters.
package dashboard

import (
	"bytes"
	"crypto/sha256"
	"embed"
	"encoding/hex"
	"net/http"
	"time"
)

//go:embed files
var files embed.FS

// contentSecurityPolicy allows only the page's own script and stylesheet and calls
// to its own host. It forbids sending forms, because without the script a browser
// would put the fields of a form, and thus the key, into the URL.
const contentSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; " +
	"form-action 'none'; base-uri 'none'; frame-ancestors 'none'"

// asset is one embedded file with the values of its Content-Type and ETag headers.
type asset struct {
	contentType string
	etag        string
	data        []byte
}

// New returns the handler for /status and all paths under /status/. It has no
// mutable state and is safe for concurrent use.
func New() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/status", loadAsset("page.html", "text/html; charset=utf-8"))
	mux.Handle("/status/page.css", loadAsset("page.css", "text/css; charset=utf-8"))
	mux.Handle("/status/page.js", loadAsset("page.js", "text/javascript; charset=utf-8"))
	mux.Handle("/status/{$}", http.RedirectHandler("/status", http.StatusPermanentRedirect))
	return withSecurityHeaders(mux)
}

// loadAsset returns an embedded file. It panics if the file is missing, because the
// build includes all of them.
func loadAsset(name, contentType string) asset {
	data, err := files.ReadFile("files/" + name)
	if err != nil {
		panic("dashboard: " + err.Error())
	}
	sum := sha256.Sum256(data)
	return asset{
		contentType: contentType,
		etag:        `"` + hex.EncodeToString(sum[:8]) + `"`,
		data:        data,
	}
}

// ServeHTTP answers with the file. Browsers revalidate it on each use, so that the
// page and the script never come from different releases.
func (a asset) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", a.contentType)
	w.Header().Set("Cache-Control", "no-cache")
	w.Header().Set("ETag", a.etag)
	http.ServeContent(w, r, "", time.Time{}, bytes.NewReader(a.data))
}

// withSecurityHeaders sets the security headers of every answer and rejects
// methods other than GET and HEAD.
func withSecurityHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Security-Policy", contentSecurityPolicy)
		w.Header().Set("Referrer-Policy", "no-referrer")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			w.Header().Set("Allow", "GET, HEAD")
			http.Error(w, "the status page is only read", http.StatusMethodNotAllowed)
			return
		}
		next.ServeHTTP(w, r)
	})
}

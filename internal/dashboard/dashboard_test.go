package dashboard_test

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/heathermux/heathermux/internal/dashboard"
)

var assetPaths = []string{"/status", "/status/page.css", "/status/page.js"}

func serve(method, path string) *httptest.ResponseRecorder {
	recorder := httptest.NewRecorder()
	dashboard.New().ServeHTTP(recorder, httptest.NewRequest(method, path, nil))
	return recorder
}

// Guards against a file that browsers reject because of its content type, and
// against an answer without the headers that block scripts of other origins, which
// could read the key.
func TestPathsAndHeaders(t *testing.T) {
	tests := map[string]struct {
		method, path string
		status       int
		contentType  string
	}{
		"page":          {"GET", "/status", http.StatusOK, "text/html; charset=utf-8"},
		"page, HEAD":    {"HEAD", "/status", http.StatusOK, "text/html; charset=utf-8"},
		"stylesheet":    {"GET", "/status/page.css", http.StatusOK, "text/css; charset=utf-8"},
		"script":        {"GET", "/status/page.js", http.StatusOK, "text/javascript; charset=utf-8"},
		"folder":        {"GET", "/status/", http.StatusPermanentRedirect, "text/html; charset=utf-8"},
		"unknown":       {"GET", "/status/page.go", http.StatusNotFound, "text/plain; charset=utf-8"},
		"folder itself": {"GET", "/status/files/", http.StatusNotFound, "text/plain; charset=utf-8"},
		"change":        {"POST", "/status", http.StatusMethodNotAllowed, "text/plain; charset=utf-8"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response := serve(tt.method, tt.path)
			is.Equal(response.Code, tt.status)
			header := response.Header()
			is.Equal(header.Get("Content-Type"), tt.contentType)
			is.Equal(header.Get("X-Content-Type-Options"), "nosniff")
			is.Equal(header.Get("Referrer-Policy"), "no-referrer")
			policy := header.Get("Content-Security-Policy")
			for _, part := range []string{"default-src 'none'", "script-src 'self'", "style-src 'self'", "connect-src 'self'", "form-action 'none'"} {
				is.True(strings.Contains(policy+";", part+";")) // allows no other source
			}
			is.True(!strings.Contains(policy, "unsafe"))
		})
	}
}

// Guards against a page and a script of different releases: a browser must
// revalidate each file, and gets "not modified" only for the present version.
func TestRevalidation(t *testing.T) {
	for _, path := range assetPaths {
		is := is.New(t)
		first := serve("GET", path)
		is.Equal(first.Header().Get("Cache-Control"), "no-cache")
		r := httptest.NewRequest("GET", path, nil)
		r.Header.Set("If-None-Match", first.Header().Get("ETag"))
		second := httptest.NewRecorder()
		dashboard.New().ServeHTTP(second, r)
		is.Equal(second.Code, http.StatusNotModified)
	}
}

// Guards against a page that fetches something from another host. This would fail
// in a network without Internet access and reveal the use of the page to others.
func TestNoOtherHost(t *testing.T) {
	externalReference := regexp.MustCompile(`(?i)\w:?//\w|["'(]//|@import|url\(|<base|data:|<style|<script>|\sstyle=|\son\w+=`)
	for _, path := range assetPaths {
		if found := externalReference.FindString(serve("GET", path).Body.String()); found != "" {
			t.Errorf("%s has %q", path, found)
		}
	}
	reference := regexp.MustCompile(`(?:src|href)="([^"]*)"`)
	for _, match := range reference.FindAllStringSubmatch(serve("GET", "/status").Body.String(), -1) {
		if response := serve("GET", match[1]); response.Code != http.StatusOK {
			t.Errorf("%s is referred to and answers %d", match[1], response.Code)
		}
	}
}

// Guards key-scope: the script sends the key only in a header of its call to the
// status API, so that no URL, proxy log or browser storage contains it.
func TestKeyInNoURLAndNoStore(t *testing.T) {
	is := is.New(t)
	script := serve("GET", "/status/page.js").Body.String()
	is.Equal(regexp.MustCompile(`fetch\([^,]*`).FindAllString(script, -1), []string{"fetch(statusPath"})
	is.True(strings.Contains(script, `const statusPath = "/v1/status?teams=true";`))
	var uses []string
	for _, line := range strings.Split(regexp.MustCompile(`//.*|"[^"]*"`).ReplaceAllString(script, `""`), "\n") {
		if regexp.MustCompile(`\b(key|entered)\b`).MatchString(regexp.MustCompile("`[^`]*`").ReplaceAllString(line, "")) {
			uses = append(uses, strings.TrimSpace(line))
		}
	}
	is.Equal(uses, []string{
		`let key = "";`,
		`key = "";`,
		`const entered = element("").value.trim();`,
		`if (!/^[\x21-\x7e]+$/.test(entered)) {`,
		`key = entered;`,
		`headers: { Authorization: "" + key },`,
	})
	for _, word := range []string{
		"localStorage", "sessionStorage", "indexedDB", "cookie", "caches", "history", "location",
		"URL(", "URLSearchParams", "XMLHttpRequest", "sendBeacon", "WebSocket", "EventSource", "postMessage", "window.open",
		"console", "innerHTML", "outerHTML", "insertAdjacentHTML", "document.write", "eval(", "Function(",
	} {
		is.True(!strings.Contains(script, word)) // the script must not use this
	}
	input := regexp.MustCompile(`<input[^>]*>`).FindAllString(serve("GET", "/status").Body.String(), -1)
	is.Equal(len(input), 1)
	is.True(!regexp.MustCompile(`\sname=`).MatchString(input[0])) // an unnamed field is never sent with a form
}

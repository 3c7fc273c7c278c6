package loader

import (
	"slices"
	"time"
)

// Settings holds the settings of one entry host. The zero value is not valid;
// start from DefaultSettings.
type Settings struct {
	// Name is the name of this entry host, which Peers must contain as well.
	Name string `json:"name" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	// Region is the region of this entry host.
	Region string `json:"region" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	// DataCentre is the data centre of this entry host.
	DataCentre string `json:"data-centre" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	// HTTPAddress is the listen address for callers, upstreams, workers, operators
	// and metrics.
	HTTPAddress string `json:"http-address" validate:"address" allow:"an IP address and port, such as \"127.0.0.1:8080\""`
	// PeerAddress is the listen address for calls from other entry hosts.
	PeerAddress string `json:"peer-address" validate:"address" allow:"an IP address and port, such as \"127.0.0.1:7080\""`
	// DataFolder is the directory of the replicated log; empty means that the host
	// has no disk and is not a voter. A relative path is resolved against the
	// directory of the settings file.
	DataFolder string `json:"data-folder" validate:"max=1024" allow:"a path of at most 1024 bytes, or empty for a host that is no voter"`
	// Voters are the names of the initial voters.
	Voters []string `json:"voters" validate:"min=1,max=5,unique,dive,name" allow:"the names of 1, 3 or 5 entry hosts"`
	// Peers lists all entry hosts, including this one.
	Peers []Peer `json:"peers" validate:"min=1,max=64,unique=Name,dive" allow:"1 to 64 entry hosts with different names"`
	// Bootstrap is the path of the deployment file that the first leader reads if
	// the control state is empty. A relative path is resolved against the directory
	// of the settings file.
	Bootstrap string `json:"bootstrap" validate:"max=1024" allow:"a path of at most 1024 bytes, or empty for none"`
	// Log selects the level and format of log messages.
	Log Log `json:"log" allow:"an object"`
	// Trace selects the exporter of trace spans.
	Trace Trace `json:"trace" allow:"an object"`
	// TLS holds the certificates; without them connections are not encrypted.
	TLS TLS `json:"tls" allow:"an object"`
	// Limits limits the resources of the entry host.
	Limits Limits `json:"limits" allow:"an object"`
	// RequestDeadline is the default for requests that specify no deadline.
	RequestDeadline time.Duration `json:"request-deadline" validate:"min=10ms,max=5m" allow:"a duration from \"10ms\" to \"5m\""`
	// Idempotency configures the registry of idempotency keys.
	Idempotency Idempotency `json:"idempotency" allow:"an object"`
}

// Peer is an entry host and the address at which other entry hosts reach it.
type Peer struct {
	Name        string `json:"name" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
	PeerAddress string `json:"peer-address" validate:"address" allow:"an IP address and port, such as \"127.0.0.1:7080\""`
	DataCentre  string `json:"data-centre" validate:"name" allow:"1 to 63 lower-case letters, digits, dots and hyphens"`
}

// Log selects the level and format of log messages.
type Log struct {
	Level  string `json:"level" validate:"oneof=debug info warn error" allow:"debug, info, warn or error"`
	Format string `json:"format" validate:"oneof=text json" allow:"text or json"`
}

// Trace selects the exporter of trace spans.
type Trace struct {
	Exporter string `json:"exporter" validate:"oneof=none stdout otlp" allow:"none, stdout or otlp"`
	// Endpoint is the URL of the collector; used with the exporter otlp only.
	Endpoint string `json:"endpoint" validate:"required_if=Exporter otlp,omitempty,http_url" allow:"an http or https URL; needed with the exporter otlp"`
}

// TLS holds the certificates for each kind of connection; nil means plain TCP.
type TLS struct {
	HTTP  *Certificate `json:"http" allow:"an object with certificate and key"`
	Peers *Certificate `json:"peers" allow:"an object with certificate, key and ca"`
}

// Certificate holds the paths of PEM files. Relative paths are resolved against
// the directory of the settings file.
type Certificate struct {
	Certificate string `json:"certificate" validate:"required,max=1024" allow:"the path of a PEM file"`
	Key         string `json:"key" validate:"required,max=1024" allow:"the path of a PEM file"`
	// CA is the file with the certificates that the other side is verified
	// against. It is required for peers. For HTTP it may be empty; clients are
	// then not asked for certificates.
	CA string `json:"ca" validate:"max=1024" allow:"the path of a PEM file; needed for peers"`
}

// Limits limits the resources of one entry host.
type Limits struct {
	// Header is the maximum size of a request header.
	Header Bytes `json:"header" validate:"min=4096,max=1048576" allow:"an amount of memory from \"4KiB\" to \"1MiB\""`
	// Body is the maximum size of a request or response body.
	Body Bytes `json:"body" validate:"min=1024,max=8388608" allow:"an amount of memory from \"1KiB\" to \"8MiB\""`
	// Connections is the maximum number of client connections.
	Connections int `json:"connections" validate:"min=16,max=100000" allow:"a whole number from 16 to 100000"`
	// Queue is the maximum number of requests that wait in one queue.
	Queue int `json:"queue" validate:"min=1,max=100000" allow:"a whole number from 1 to 100000"`
	// QueuePerTeam is the maximum number of requests of one team that wait in one
	// queue.
	QueuePerTeam int `json:"queue-per-team" validate:"min=1,max=100000,ltefield=Queue" allow:"a whole number from 1 to the value of queue"`
	// Tasks is the maximum number of accepted tasks that a scheduler holds.
	Tasks int `json:"tasks" validate:"min=1,max=1000000" allow:"a whole number from 1 to 1000000"`
	// TaskPayload is the maximum size of a task's payload.
	TaskPayload Bytes `json:"task-payload" validate:"min=1024,max=1048576" allow:"an amount of memory from \"1KiB\" to \"1MiB\""`
}

// Idempotency configures the registry of idempotency keys.
type Idempotency struct {
	// Retention is how long a key and its outcome are kept.
	Retention time.Duration `json:"retention" validate:"min=1m,max=24h" allow:"a duration from \"1m\" to \"24h\""`
	// MemoryCap limits the memory of stored responses. Beyond it, the oldest ones
	// are dropped, and only the fact that the request ran is kept.
	MemoryCap Bytes `json:"memory-cap" validate:"min=1048576,max=4294967296" allow:"an amount of memory from \"1MiB\" to \"4GiB\""`
}

// DefaultSettings returns the defaults of all settings that have one.
func DefaultSettings() Settings {
	return Settings{
		Log: Log{
			Level:  "info",
			Format: "text",
		},
		Trace: Trace{
			Exporter: "none",
		},
		Limits: Limits{
			Header:       64 * KiB,
			Body:         8 * MiB,
			Connections:  4096,
			Queue:        2048,
			QueuePerTeam: 512,
			Tasks:        100_000,
			TaskPayload:  64 * KiB,
		},
		RequestDeadline: 5 * time.Second,
		Idempotency: Idempotency{
			Retention: 10 * time.Minute,
			MemoryCap: 64 * MiB,
		},
	}
}

// IsVoter reports whether this entry host is one of the initial voters.
func (s Settings) IsVoter() bool {
	return slices.Contains(s.Voters, s.Name)
}

// Peer returns the entry host with the given name.
func (s Settings) Peer(name string) (Peer, bool) {
	i := slices.IndexFunc(s.Peers, func(p Peer) bool { return p.Name == name })
	if i < 0 {
		return Peer{}, false
	}
	return s.Peers[i], true
}

package measurer

import (
	"context"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/heathermux/heathermux/internal/daemon"
	"github.com/heathermux/heathermux/internal/loader"
)

const (
	roleProcess = "whole entry host, idle"

	// warmupTime is how long a fleet runs before it is measured. By then it has
	// completed election, view and first state transfers, and new schedulers have
	// waited for workers' leases to expire (17 s).
	warmupTime = 22 * time.Second

	// measuredTime is the length of the measurement of an idle fleet.
	measuredTime = 6 * time.Second

	voterCount = 5
)

func processProbes() []probe {
	return []probe{
		{
			role:  roleProcess,
			name:  "share of one in a fleet of 6,600 hosts and 71 teams",
			axis:  "entry hosts",
			sizes: []int{5, 11, 22},
			metrics: []metric{
				{
					name:   "processor time a second",
					unit:   cpuTime,
					target: targetEntryHosts,
					rate:   1,
					bound:  maxCorePercent,
				},
				{
					name:   "bytes a second between entry hosts, sent and received",
					value:  1,
					unit:   traffic,
					target: targetEntryHosts,
					rate:   1,
					bound:  maxBytesPerSecond,
				},
				{
					name:   "bytes a second of calls that the busiest one, the leader, answers",
					value:  3,
					unit:   traffic,
					target: targetEntryHosts,
					rate:   1,
					bound:  maxBytesPerSecond,
				},
				{
					name:   "heap in use and stacks",
					value:  2,
					unit:   memory,
					target: targetEntryHosts,
					bound:  maxMemoryMB,
				},
			},
			measure: measureProcesses,
		},
	}
}

// countingListener counts the bytes of its connections in both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept returns a connection that counts its bytes.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{
		Conn:  c,
		bytes: l.bytes,
	}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes received.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// entryHosts is a fleet of daemons in this process.
type entryHosts struct {
	size  fleetSize
	http  []net.Listener
	peers []net.Listener
	// bytes counts, for each entry host, the bytes of the connections that it
	// accepted.
	bytes  []atomic.Int64
	folder string
	done   []chan error
	stop   context.CancelFunc
}

// startEntryHosts starts the entry hosts. After an error in listening or starting
// it returns those started so far too, so that the caller can close them.
func startEntryHosts(ctx context.Context, s fleetSize) (*entryHosts, error) {
	folder, err := os.MkdirTemp("", "heathermux-measure-")
	if err != nil {
		return nil, errors.Wrap(err, "create data folder")
	}
	ctx, stop := context.WithCancel(ctx)
	e := &entryHosts{
		size:   s,
		bytes:  make([]atomic.Int64, s.entryHosts),
		folder: folder,
		stop:   stop,
	}
	for range s.entryHosts {
		if err := e.listen(); err != nil {
			return e, err
		}
	}
	for i := range s.entryHosts {
		if err := e.start(ctx, i); err != nil {
			return e, err
		}
	}
	return e, nil
}

func (e *entryHosts) listen() error {
	for _, list := range []*[]net.Listener{&e.http, &e.peers} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return errors.Wrap(err, "listen on loopback")
		}
		*list = append(*list, l)
	}
	return nil
}

func (e *entryHosts) settings(host int) loader.Settings {
	s := loader.DefaultSettings()
	self := e.size.member(host)
	s.Name = self.GetName()
	s.DataCentre = self.GetDataCentre()
	s.HTTPAddress = e.http[host].Addr().String()
	s.PeerAddress = e.peers[host].Addr().String()
	for i, l := range e.peers {
		m := e.size.member(i)
		if i < voterCount {
			s.Voters = append(s.Voters, m.GetName())
		}
		s.Peers = append(s.Peers, loader.Peer{
			Name:        m.GetName(),
			DataCentre:  m.GetDataCentre(),
			PeerAddress: l.Addr().String(),
		})
	}
	if s.IsVoter() {
		s.DataFolder = filepath.Join(e.folder, s.Name)
	}
	return s
}

func (e *entryHosts) start(ctx context.Context, host int) error {
	snap := e.size.snapshot()
	snap.Revision = 0
	snap.View = nil
	d, err := daemon.New(ctx, daemon.Options{
		Settings:     e.settings(host),
		Logger:       slog.New(slog.DiscardHandler),
		HTTPListener: e.http[host],
		PeerListener: countingListener{
			Listener: e.peers[host],
			bytes:    &e.bytes[host],
		},
		Bootstrap: snap,
		Traces:    io.Discard,
	})
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	e.done = append(e.done, done)
	return nil
}

// close stops all daemons and removes their files.
func (e *entryHosts) close() error {
	e.stop()
	var closeErr error
	for _, done := range e.done {
		if err := <-done; err != nil {
			closeErr = err
		}
	}
	if err := os.RemoveAll(e.folder); closeErr == nil {
		closeErr = errors.Wrap(err, "remove data folder")
	}
	return closeErr
}

func measureProcesses(ctx context.Context, n int) (values []float64, finalErr error) {
	s := targetFleet()
	s.entryHosts = n
	empty := heapAndStackBytes()
	e, err := startEntryHosts(ctx, s)
	if e != nil {
		defer func() {
			if err := e.close(); finalErr == nil {
				finalErr = err
			}
		}()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(warmupTime)
	before, processor, began := e.acceptedBytes(), processorTime(), time.Now()
	time.Sleep(measuredTime)
	seconds := time.Since(began).Seconds()
	processor = processorTime() - processor
	total, largest := increases(before, e.acceptedBytes())
	each := 1 / float64(n)
	return []float64{
		float64(processor) * each / seconds,
		// Each byte is sent by one host and received by another.
		2 * total * each / seconds,
		(heapAndStackBytes() - empty) * each,
		largest / seconds,
	}, nil
}

// acceptedBytes returns, for each entry host, the bytes so far on the connections
// that it accepted.
func (e *entryHosts) acceptedBytes() []float64 {
	list := make([]float64, len(e.bytes))
	for i := range e.bytes {
		list[i] = float64(e.bytes[i].Load())
	}
	return list
}

// increases returns the sum of the increases from before to after, and the largest
// one.
func increases(before, after []float64) (total, largest float64) {
	for i := range before {
		total += after[i] - before[i]
		largest = max(largest, after[i]-before[i])
	}
	return total, largest
}

// heapAndStackBytes returns the bytes of heap spans in use and of stacks.
func heapAndStackBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

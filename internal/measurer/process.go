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

	// settleTime is how long a fleet runs before it is measured. Election,
	// view, first state transfers and the wait of new schedulers for the leases of
	// workers (17 s) are over by then.
	settleTime = 22 * time.Second

	// watchTime is how long an idle fleet is measured.
	watchTime = 6 * time.Second

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
					bound:  boundCore,
				},
				{
					name:   "bytes a second between entry hosts, sent and received",
					value:  1,
					unit:   traffic,
					target: targetEntryHosts,
					rate:   1,
					bound:  boundTraffic,
				},
				{
					name:   "bytes a second of calls that the busiest one, the leader, answers",
					value:  3,
					unit:   traffic,
					target: targetEntryHosts,
					rate:   1,
					bound:  boundTraffic,
				},
				{
					name:   "heap in use and stacks",
					value:  2,
					unit:   memory,
					target: targetEntryHosts,
					bound:  boundMemory,
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

// Accept returns a connection that counts.
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

// Read counts what arrives.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what leaves.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// entryHosts is a fleet of daemons in this process.
type entryHosts struct {
	shape shape
	http  []net.Listener
	peers []net.Listener
	// bytes are those of the connections that each host accepted.
	bytes  []atomic.Int64
	folder string
	done   []chan error
	stop   context.CancelFunc
}

func startEntryHosts(ctx context.Context, s shape) (*entryHosts, error) {
	folder, err := os.MkdirTemp("", "heathermux-measure-")
	if err != nil {
		return nil, errors.Wrap(err, "data folder")
	}
	ctx, stop := context.WithCancel(ctx)
	e := &entryHosts{
		shape:  s,
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
			return errors.Wrap(err, "listen")
		}
		*list = append(*list, l)
	}
	return nil
}

func (e *entryHosts) settings(host int) loader.Settings {
	s := loader.DefaultSettings()
	self := e.shape.member(host)
	s.Name = self.GetName()
	s.DataCentre = self.GetDataCentre()
	s.HTTPAddress = e.http[host].Addr().String()
	s.PeerAddress = e.peers[host].Addr().String()
	for i, l := range e.peers {
		m := e.shape.member(i)
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
	snap := e.shape.snapshot()
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
	var failed error
	for _, done := range e.done {
		if err := <-done; err != nil {
			failed = err
		}
	}
	if err := os.RemoveAll(e.folder); failed == nil {
		failed = errors.Wrap(err, "data folder")
	}
	return failed
}

func measureProcesses(ctx context.Context, n int) (values []float64, failed error) {
	s := targetShape()
	s.entryHosts = n
	empty := used()
	e, err := startEntryHosts(ctx, s)
	if e != nil {
		defer func() {
			if err := e.close(); failed == nil {
				failed = err
			}
		}()
	}
	if err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	before, processor, began := e.traffic(), processorTime(), time.Now()
	time.Sleep(watchTime)
	seconds := time.Since(began).Seconds()
	processor = processorTime() - processor
	total, most := growth(before, e.traffic())
	each := 1 / float64(n)
	return []float64{
		float64(processor) * each / seconds,
		// Each byte concerns the two hosts at its ends.
		2 * total * each / seconds,
		(used() - empty) * each,
		most / seconds,
	}, nil
}

// traffic returns the bytes of the connections that each host accepted.
func (e *entryHosts) traffic() []float64 {
	list := make([]float64, len(e.bytes))
	for i := range e.bytes {
		list[i] = float64(e.bytes[i].Load())
	}
	return list
}

// growth returns the sum of the differences and the largest one.
func growth(before, after []float64) (total, most float64) {
	for i := range before {
		total += after[i] - before[i]
		most = max(most, after[i]-before[i])
	}
	return total, most
}

// used returns the bytes of heap spans and stacks.
func used() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

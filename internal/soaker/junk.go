package soaker

import (
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/heathermux/heathermux/platform/standin"
)

const (
	// junkMessages is the number of malformed messages that one fault sends.
	junkMessages = 10
	// maxJunkBytes bounds the length of a message of random bytes.
	maxJunkBytes = 4 << 10
	// junkTimeout bounds the sending of one malformed message.
	junkTimeout = 200 * time.Millisecond
)

// junkHeartbeats are bodies that name no worker to use.
var junkHeartbeats = []string{
	"",
	"null",
	"[]",
	"{",
	`{"service":"pool"}`,
	`{"service":7,"address":"127.0.0.1:9","zone":"z0","state":"ready","capacity":{"cpu":4000},"born":1,"seq":1}`,
	`{"service":"pool","address":"127.0.0.1:9","zone":"z0","state":"dancing","capacity":{"cpu":4000},"born":99999999999999,"seq":999999}`,
	`{"service":"nowhere","address":"127.0.0.1:9","zone":"z0","state":"ready","capacity":{"cpu":4000},"born":1,"seq":1}`,
	`{"service":"pool","address":"no address","zone":"z0","state":"ready","capacity":{"cpu":4000},"born":1,"seq":1}`,
	`{"service":"pool","address":"127.0.0.1:9","zone":"z0","state":"ready","capacity":{"cpu":-1e300},"born":1.5,"seq":-1}`,
	`{"service":"pool","address":"127.0.0.1:9","zone":"z0","state":"ready","capacity":[4000],"labels":"a","born":"1","seq":1}`,
	"{\"service\":\"\xff\xfe\"}",
	`{"service":"pool","address":"127.0.0.1:99999","zone":"z0","state":"ready","capacity":{"cpu":4000},"born":1,"seq":1}`,
	`{"service":"pool","address":"127.0.0.1:9","zone":"z0","state":"ready","capacity":{"cpu":9223372036854775807,"mem_mb":9223372036854775807},"born":1,"seq":1}`,
	`{"service":"pool","address":"127.0.0.1:9","zone":"z0","state":"draining","capacity":{"cpu":4000},"born":9223372036854775807,"seq":18446744073709551615}`,
	`{"service":"pool","address":"127.0.0.1:9","zone":"z0","version":3,"state":"draining","capacity":{"cpu":4000},"born":2,"seq":1}`,
	`{"service":"pool","labels":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
}

// junkRequests are requests that are cut off or malformed.
var junkRequests = []string{
	"POST /-/Config.Replace HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n{\"version\":9",
	"POST /-/Config.Replace HTTP/1.1\r\nHost: h\r\nContent-Length: 14\r\n\r\n{\"version\":[]}",
	"POST /-/Evacuate.Start/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
	"POST " + routePrefix + "00000000000f0000 HTTP/1.1\r\nHost: " + routeHost + "\r\nContent-Length: 900\r\n\r\n{\"spec\":",
	"GET / HTTP/9.9\r\n\r\n",
}

// sendJunk sends malformed messages to random ports of random machines, and malformed
// heartbeats under the ids of workers and others.
func (s *soak) sendJunk() {
	for range junkMessages {
		m := s.machines[s.random.IntN(len(s.machines))]
		ports := []int{internalPort, internalPort + 5, controlPort, frontPort, readyPort}
		address := fmt.Sprintf("%s:%d", m.ip, ports[s.random.IntN(len(ports))])
		var message []byte
		switch s.random.IntN(3) {
		case 0:
			message = make([]byte, 1+s.random.IntN(maxJunkBytes))
			for i := range message {
				message[i] = byte(s.random.Uint32())
			}
		case 1:
			message = []byte(junkRequests[s.random.IntN(len(junkRequests))])
		default:
			address = s.machines[s.random.IntN(cores)].control()
			body := junkHeartbeats[s.random.IntN(len(junkHeartbeats))]
			message = fmt.Appendf(nil, "POST %sworker-%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
				standin.HeartbeatPath, s.random.IntN(2*workers), len(body), body)
		}
		sendBytes(address, message)
	}
}

// sendBytes sends bytes and closes the connection; a machine that is down gets none.
func sendBytes(address string, message []byte) {
	conn, err := net.DialTimeout("tcp", address, junkTimeout)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(junkTimeout))
	_, _ = conn.Write(message)
	// Lets the machine read the message before the connection ends.
	_, _ = conn.Read(make([]byte, 1))
}

package persister

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/pkg/replication"
)

// ErrDamaged means that a file is corrupt other than by an incomplete last write.
// The replica has to be rebuilt.
var ErrDamaged = errors.New("persister: stored data is corrupt")

const (
	// magic starts every frame. Its last byte is the version of the format.
	magic      = "hmx\x01"
	headerSize = len(magic) + 4 + 4 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns a frame: magic, payload length, payload checksum, checksum
// of these three fields, payload. A frame is written with one write and one sync,
// so only the last frame of a file can be torn.
func encodeFrame(m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	buf := make([]byte, headerSize, headerSize+size)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "persister: encode frame")
	}
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(buf)-headerSize))
	binary.LittleEndian.PutUint32(buf[8:], crc32.Checksum(buf[headerSize:], castagnoli))
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], castagnoli))
	return buf, nil
}

// nextFrame returns the payload of the frame at the start of data and the data
// after it, or false when data does not start with a complete, valid frame.
func nextFrame(data []byte) (payload, rest []byte, ok bool) {
	if len(data) < headerSize || string(data[:4]) != magic {
		return nil, nil, false
	}
	size := uint64(binary.LittleEndian.Uint32(data[4:]))
	if binary.LittleEndian.Uint32(data[12:]) != crc32.Checksum(data[:12], castagnoli) ||
		size > uint64(len(data)-headerSize) {
		return nil, nil, false
	}
	payload = data[headerSize : headerSize+int(size)]
	if binary.LittleEndian.Uint32(data[8:]) != crc32.Checksum(payload, castagnoli) {
		return nil, nil, false
	}
	return payload, data[headerSize+int(size):], true
}

// ReadFrames decodes the frames of a segment. An incomplete or invalid last frame
// is taken for a torn write and omitted. A valid frame after an invalid one rules
// out a torn write; ErrDamaged is then returned.
func ReadFrames(data []byte) ([]*replication.Frame, error) {
	var frames []*replication.Frame
	for len(data) > 0 {
		payload, rest, ok := nextFrame(data)
		if !ok {
			return frames, checkTornTail(data)
		}
		f := &replication.Frame{}
		if err := proto.Unmarshal(payload, f); err != nil {
			return nil, errors.Wrap(ErrDamaged, err.Error())
		}
		frames = append(frames, f)
		data = rest
	}
	return frames, nil
}

// checkTornTail returns ErrDamaged when data contains another valid frame after its
// first byte, so that data is not a torn write.
func checkTornTail(data []byte) error {
	for {
		i := bytes.Index(data[1:], []byte(magic))
		if i < 0 {
			return nil
		}
		data = data[1+i:]
		if _, _, ok := nextFrame(data); ok {
			return errors.Wrap(ErrDamaged, "segment has a valid frame after an invalid one")
		}
	}
}

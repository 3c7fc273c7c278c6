package persister

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/pkg/replication"
)

// ErrDamaged means that a file holds something that was never written in this
// form, before the end of what was last written. The replica has to be rebuilt.
var ErrDamaged = errors.New("persister: a file is damaged")

const (
	// magic begins every frame; its last byte is the version of the format.
	magic      = "hmx\x01"
	headerSize = len(magic) + 4 + 4 + 4
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// encodeFrame returns magic, length, checksum of the payload, checksum of the
// three, and the payload. One frame is one write and one sync, so that only
// the last frame of a file can be torn.
func encodeFrame(m proto.Message) ([]byte, error) {
	size := proto.Size(m)
	buf := make([]byte, headerSize, headerSize+size)
	buf, err := proto.MarshalOptions{}.MarshalAppend(buf, m)
	if err != nil {
		return nil, errors.Wrap(err, "persister: encode")
	}
	copy(buf, magic)
	binary.LittleEndian.PutUint32(buf[4:], uint32(len(buf)-headerSize))
	binary.LittleEndian.PutUint32(buf[8:], crc32.Checksum(buf[headerSize:], castagnoli))
	binary.LittleEndian.PutUint32(buf[12:], crc32.Checksum(buf[:12], castagnoli))
	return buf, nil
}

// nextFrame returns the payload of the frame at the start of data and the
// data after it, false when there is no whole frame.
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

// ReadFrames decodes the frames of a segment. A last frame that is not whole
// is left out. When a whole frame follows one that is not, the damage is not a
// torn write, and ErrDamaged is returned.
func ReadFrames(data []byte) ([]*replication.Frame, error) {
	var frames []*replication.Frame
	for len(data) > 0 {
		payload, rest, ok := nextFrame(data)
		if !ok {
			return frames, tornTail(data)
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

// tornTail returns nil when no whole frame begins within data.
func tornTail(data []byte) error {
	for {
		i := bytes.Index(data[1:], []byte(magic))
		if i < 0 {
			return nil
		}
		data = data[1+i:]
		if _, _, ok := nextFrame(data); ok {
			return errors.Wrap(ErrDamaged, "a whole frame follows one that is not")
		}
	}
}

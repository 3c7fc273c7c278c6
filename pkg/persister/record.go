package persister

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// WriteRecord writes one message as a frame to a file of its own, with WriteFile.
func WriteRecord(fs FS, name string, m proto.Message) error {
	data, err := encodeFrame(m)
	if err != nil {
		return err
	}
	return WriteFile(fs, name, data)
}

// ReadRecord reads a message that WriteRecord wrote. It returns an error that wraps
// os.ErrNotExist when the file does not exist, and one that wraps ErrDamaged when
// its content is incomplete or corrupt.
func ReadRecord(fs FS, name string, m proto.Message) error {
	data, err := fs.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "persister: read record")
	}
	payload, rest, ok := nextFrame(data)
	if !ok || len(rest) > 0 || proto.Unmarshal(payload, m) != nil {
		return errors.Wrap(ErrDamaged, name)
	}
	return nil
}

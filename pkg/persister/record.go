package persister

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// WriteRecord puts one message in a file of its own, as WriteFile does.
func WriteRecord(fs FS, name string, m proto.Message) error {
	data, err := encodeFrame(m)
	if err != nil {
		return err
	}
	return WriteFile(fs, name, data)
}

// ReadRecord reads what WriteRecord wrote. It returns an error that wraps
// os.ErrNotExist when there is no file, and ErrDamaged when it is not whole.
func ReadRecord(fs FS, name string, m proto.Message) error {
	data, err := fs.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "persister: read")
	}
	payload, rest, ok := nextFrame(data)
	if !ok || len(rest) > 0 || proto.Unmarshal(payload, m) != nil {
		return errors.Wrap(ErrDamaged, name)
	}
	return nil
}

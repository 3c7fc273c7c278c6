package jobkeeper

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/heathermux/heathermux/internal/jobwire"
)

// ConfigureCommand returns the log command that puts a configuration in force. The
// configuration is compressed, since replicating a large one uncompressed delays
// the heartbeats of the leader.
func ConfigureCommand(c *jobwire.Configuration) (*jobwire.Command, error) {
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.Wrap(err, "jobkeeper: encode configuration")
	}
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "jobkeeper: compress configuration")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "jobkeeper: compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "jobkeeper: compress configuration")
	}
	return &jobwire.Command{
		Change: &jobwire.Command_Packed{
			Packed: &jobwire.PackedConfiguration{
				Deflated: packed.Bytes(),
			},
		},
	}, nil
}

// unpack decompresses and decodes a configuration.
func unpack(p *jobwire.PackedConfiguration) (*jobwire.Configuration, error) {
	data, err := io.ReadAll(flate.NewReader(bytes.NewReader(p.GetDeflated())))
	if err != nil {
		return nil, errors.Wrap(err, "jobkeeper: decompress packed configuration")
	}
	c := &jobwire.Configuration{}
	return c, errors.Wrap(proto.Unmarshal(data, c), "jobkeeper: decode packed configuration")
}

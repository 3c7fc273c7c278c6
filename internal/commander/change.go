package commander

import (
	"crypto/rand"
	"strings"
	"time"

	"github.com/heathermux/heathermux/internal/operator"
)

// changeOptions are the options of all commands that change the control state.
type changeOptions struct {
	OperationID string `long:"operation-id" value-name:"ID" description:"Operation ID; a repeat of a command whose answer was lost takes the ID that it printed"`
}

// revisionOption is the option of commands that change an existing object.
type revisionOption struct {
	Revision *uint64 `long:"revision" value-name:"N" description:"Revision of the object that the change is made from; without it the present one is read first"`
}

// change returns the operation ID and the revision of a change. Without
// --operation-id it generates an ID.
func (o *changeOptions) change(revision uint64) operator.Change {
	if o.OperationID == "" {
		o.OperationID = "op-" + strings.ToLower(rand.Text())
	}
	return operator.Change{
		OperationID: o.OperationID,
		Revision:    &revision,
	}
}

// resolveRevision returns the revision of --revision, or else the present one,
// which it gets from read. A missing object has revision 0; the entry host then
// reports the error, or returns the first result of a repeated operation.
func (o revisionOption) resolveRevision(read func() (uint64, error)) (uint64, error) {
	if o.Revision != nil {
		return *o.Revision, nil
	}
	return read()
}

// showAnswer prints what was changed and when the change is in force everywhere.
func (s *session) showAnswer(answer *operator.Answer, what string) error {
	return s.show(answer, func() {
		s.print("%s\n", what)
		s.print("in force on every entry host by %s\n", answer.InForceAt.Format(time.RFC3339Nano))
		s.print("revision %d, operation %s\n", answer.Revision, answer.OperationID)
	})
}

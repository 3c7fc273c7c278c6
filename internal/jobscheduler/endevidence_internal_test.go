package jobscheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A worker that was alive lost its runs on evidence that proves nothing: a broken connection, an
// answer of the provider that may speak of an earlier order, one refused connection, a listing that
// was requested before.
func TestEvidenceProvesOnlyWhatItShows(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	working := incarnationView{
		runs: 1,
	}
	ordered := incarnationView{
		runs:          1,
		orderedDownAt: at(time.Second),
	}
	refusing := func(v incarnationView, since time.Duration) incarnationView {
		v.refusedSince = at(since)
		return v
	}
	announced := incarnationView{
		runs:      1,
		announced: true,
	}
	idle := incarnationView{
		silentFor: 2 * lapsedWorkerRetention,
	}
	tests := map[string]struct {
		evidence endEvidence
		view     incarnationView
		want     bool
	}{
		"another worker answers":                      {evidence: endEvidence{kind: endOtherAnswers}, view: working, want: true},
		"a later incarnation answers":                 {evidence: endEvidence{kind: endLaterAnswers}, view: working, want: true},
		"nothing":                                     {view: ordered},
		"broken connection":                           {evidence: endEvidence{kind: endDisconnected, sentAt: at(5 * time.Second)}, view: ordered},
		"refused for long, but nothing ends it":       {evidence: endEvidence{kind: endRefused, sentAt: at(5 * time.Second)}, view: refusing(working, 0)},
		"refused once after an order":                 {evidence: endEvidence{kind: endRefused, sentAt: at(2 * time.Second)}, view: refusing(ordered, 2*time.Second)},
		"refused for 99 ms after an order":            {evidence: endEvidence{kind: endRefused, sentAt: at(2099 * time.Millisecond)}, view: refusing(ordered, 2*time.Second)},
		"refused for 100 ms after an order":           {evidence: endEvidence{kind: endRefused, sentAt: at(2100 * time.Millisecond)}, view: refusing(ordered, 2*time.Second), want: true},
		"refused since before the answer":             {evidence: endEvidence{kind: endRefused, sentAt: at(1050 * time.Millisecond)}, view: refusing(ordered, 0)},
		"refused since before and 100 ms after it":    {evidence: endEvidence{kind: endRefused, sentAt: at(1100 * time.Millisecond)}, view: refusing(ordered, 0), want: true},
		"announced, with runs":                        {evidence: endEvidence{kind: endAnnounced}, view: announced},
		"announced, refused once":                     {evidence: endEvidence{kind: endRefused, sentAt: at(0)}, view: refusing(announced, 0)},
		"announced, refused for 100 ms":               {evidence: endEvidence{kind: endRefused, sentAt: at(100 * time.Millisecond)}, view: refusing(announced, 0), want: true},
		"announced, without runs":                     {evidence: endEvidence{kind: endAnnounced}, view: idle, want: true},
		"listed as down after the order":              {evidence: endEvidence{kind: endHostListedDown, sentAt: at(2 * time.Second)}, view: ordered, want: true},
		"listed as down, requested before the answer": {evidence: endEvidence{kind: endHostListedDown, sentAt: at(0)}, view: ordered},
		"listed as down, without an order":            {evidence: endEvidence{kind: endHostListedDown, sentAt: at(2 * time.Second)}, view: working},
		"moved, with runs":                            {evidence: endEvidence{kind: endHostMoved}, view: working},
		"moved, without runs":                         {evidence: endEvidence{kind: endHostMoved}, view: idle, want: true},
		"silent for long, with runs":                  {evidence: endEvidence{kind: endSilent}, view: incarnationView{runs: 1, silentFor: time.Hour}},
		"silent for long, without runs":               {evidence: endEvidence{kind: endSilent}, view: idle, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(test.evidence.proves(test.view), test.want)
		})
	}
}

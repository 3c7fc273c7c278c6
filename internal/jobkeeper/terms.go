package jobkeeper

import "github.com/heathermux/heathermux/internal/jobwire"

// QueueTerms returns the terms that a job accepted by the queue keeps.
func QueueTerms(q *jobwire.Queue) *jobwire.JobTerms {
	return &jobwire.JobTerms{
		Attempts:    q.GetAttempts(),
		Stretch:     q.GetStretch(),
		TargetNanos: q.GetTargetNanos(),
	}
}

// TermsOf returns the terms under which a job was accepted. A job that an older build has
// accepted has none stored and follows its queue; while no configuration names the queue, it
// has one attempt. Replicas may know the former queues of such jobs or not, so its terms
// must not depend on them.
func (s *State) TermsOf(j *Job) *jobwire.JobTerms {
	if terms := j.Spec.GetTerms(); terms != nil {
		return terms
	}
	return QueueTerms(s.Queue(j.Spec.GetQueue()))
}

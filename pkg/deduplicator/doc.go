// Package deduplicator is an in-memory registry that lets a request run at
// most once for each idempotency key, as long as one of the two holders of the
// key's slot survives.
//
// Keys are spread over SlotCount slots. An agreed, numbered view of hosts gives
// each slot an owner and a copy holder (SlotMap). The owner records an intent
// and has it copied before it grants an attempt; the outcome is stored the same
// way. A Table holds the slots of one host and decides; it sends nothing,
// starts no goroutine and reads no clock. The caller carries the messages: it
// sends the copies that Begin and Finish ask for, and on a view change it asks
// the earlier holders of a slot for their content and hands the answers to
// Survey and Install.
//
// A grant needs an acknowledgement of the copy holder under the same epoch,
// and a host that has answered a Fetch of a later epoch acknowledges nothing
// for an earlier one. An owner that has not seen the new view therefore cannot
// grant.
package deduplicator

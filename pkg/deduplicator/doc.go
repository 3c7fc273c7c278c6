// Package deduplicator implements an in-memory registry of idempotency keys. A
// request runs at most once per key, as long as one of the two holders of the key's
// slot survives.
//
// Keys are hashed to SlotCount slots. A numbered view of the hosts, on which all
// hosts agree, gives each slot an owner and a copy holder (SlotMap). The owner
// records an intent and has it copied before it grants an attempt; the outcome is
// stored the same way. A Table holds the slots of one host and makes the
// decisions. It sends no messages, starts no goroutines and reads no clock. The
// caller transports the messages: it sends the copies that Begin and Finish ask
// for, and on a view change it fetches the content of a slot from its earlier
// holders and passes the answers to Survey and Install.
//
// A grant requires an acknowledgement from the copy holder under the same epoch. A
// host that has answered a Fetch of a later epoch acknowledges nothing for an
// earlier one, so an owner that has not seen the new view cannot grant.
package deduplicator

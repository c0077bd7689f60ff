package job

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
)

// OrganisationID names an organisation, for whose callers jobs are run.
type OrganisationID string

// Key is what is remembered of the text with which a caller proves its organisation: a digest from which the text cannot be found. Look-ups go
// by the digest, so that how long one takes tells nothing of how near a wrong text is to a right one.
type Key [sha256.Size]byte

// NewKey returns the digest of a key's text.
func NewKey(text string) Key { return sha256.Sum256([]byte(text)) }

// fingerprintBytes is how much of a digest logs show: enough to tell some thousand keys apart.
const fingerprintBytes = 4

// Fingerprint is the beginning of the digest, in hex, by which logs name a key.
func (ky Key) Fingerprint() string { return hex.EncodeToString(ky[:fingerprintBytes]) }

// String is the fingerprint, so that no message shows more.
func (ky Key) String() string { return ky.Fingerprint() }

// Organisation is one whose callers hand in jobs.
type Organisation struct {
	ID   OrganisationID
	Keys []Key
	// Weight is its share when all is full, and how many jobs a second are owed to it; 0 counts as 1 in shares.
	Weight float64
	// Maximum is what its tasks may take on all workers together; 0 in one of the figures bounds that one not at all.
	Maximum Size
}

// HasMaximum reports whether the organisation has a maximum.
func (og *Organisation) HasMaximum() bool { return og.Maximum != Size{} }

// Errors of calls that an organisation's key has to allow.
var (
	// ErrNoKey says that the call has no key though its queue wants one, or one that the configuration does not hold.
	ErrNoKey = errors.New("the call has no key of an organisation")
	// ErrOtherOrganisation says that the job is another organisation's.
	ErrOtherOrganisation = errors.New("the job is another organisation's")
)

// Directory finds organisations by their keys. It does not change once it is built.
type Directory struct {
	list []Organisation
	keys map[Key]OrganisationID
	// sharedKeys are keys that several organisations hold.
	sharedKeys []Key
}

// NewDirectory returns a directory of some organisations, which it keeps in the order of their names. A key that several hold is the first
// one's, so that all entry instances agree; Shared names it.
func NewDirectory(list []Organisation) *Directory {
	dy := &Directory{list: slices.Clone(list), keys: map[Key]OrganisationID{}}
	slices.SortStableFunc(dy.list, func(one, other Organisation) int { return cmp.Compare(one.ID, other.ID) })
	for _, og := range dy.list {
		for _, ky := range og.Keys {
			holder, held := dy.keys[ky]
			switch {
			case !held:
				dy.keys[ky] = og.ID
			case holder != og.ID:
				dy.sharedKeys = append(dy.sharedKeys, ky)
			}
		}
	}
	return dy
}

// List returns the organisations by name.
func (dy *Directory) List() []Organisation {
	if dy == nil {
		return nil
	}
	return dy.list
}

// SharedKeys returns the keys that several organisations hold.
func (dy *Directory) SharedKeys() []Key { return dy.sharedKeys }

// Find returns an organisation by its name, nil if there is none.
func (dy *Directory) Find(id OrganisationID) *Organisation {
	if dy == nil {
		return nil
	}
	at, ok := slices.BinarySearchFunc(dy.list, id, func(og Organisation, id OrganisationID) int { return cmp.Compare(og.ID, id) })
	if !ok {
		return nil
	}
	return &dy.list[at]
}

// CallerOrganisation returns whose call it is that came to a queue with a key, empty for a call without one to a public queue. A text that the
// configuration does not hold is refused at public queues, too: its caller believes to be somebody.
func (dy *Directory) CallerOrganisation(qu *Queue, text string) (OrganisationID, error) {
	if text == "" {
		if qu.Public {
			return "", nil
		}
		return "", ErrNoKey
	}
	if dy == nil {
		return "", ErrNoKey
	}
	id, held := dy.keys[NewKey(text)]
	if !held {
		return "", ErrNoKey
	}
	return id, nil
}

// MayAccess reports whether a caller may see, send again or cancel a job: its organisation is the job's. A job that was handed in by nobody's key
// is anybody's who may call its queue.
func MayAccess(caller, owner OrganisationID) bool { return owner == "" || caller == owner }

package job

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
)

// OrganisationID identifies an organisation whose callers submit jobs.
type OrganisationID string

// Key is the digest of an API key with which a caller proves its organisation. The text of the key is not stored. Look-ups compare digests, so
// their timing does not reveal how similar a wrong key is to a valid one.
type Key [sha256.Size]byte

// NewKey returns the digest of the text of a key.
func NewKey(text string) Key { return sha256.Sum256([]byte(text)) }

// fingerprintBytes is the length of a fingerprint. It distinguishes some thousand keys.
const fingerprintBytes = 4

// Fingerprint returns the beginning of the digest in hex, which identifies the key in logs.
func (ky Key) Fingerprint() string { return hex.EncodeToString(ky[:fingerprintBytes]) }

// String returns the fingerprint, so that no log line or error message contains the whole digest.
func (ky Key) String() string { return ky.Fingerprint() }

// Organisation is a tenant whose callers submit jobs.
type Organisation struct {
	ID   OrganisationID
	Keys []Key
	// Weight is the organisation's share of a fully used system, in jobs per second. A weight of 0 counts as 1.
	Weight float64
	// Maximum limits the resources of the organisation's tasks on all workers together. A resource of 0 is not limited.
	Maximum Size
}

// HasMaximum reports whether the organisation has a maximum.
func (og *Organisation) HasMaximum() bool { return og.Maximum != Size{} }

// Errors of calls that need the key of an organisation.
var (
	// ErrNoKey is returned for a call without a key to a queue that needs one, and for a call with an unknown key.
	ErrNoKey = errors.New("the call has no key of an organisation")
	// ErrOtherOrganisation is returned for a call for a job of another organisation.
	ErrOtherOrganisation = errors.New("the job is another organisation's")
)

// Directory looks up organisations by key. It is immutable.
type Directory struct {
	list []Organisation
	keys map[Key]OrganisationID
	// sharedKeys holds the keys that are configured for several organisations.
	sharedKeys []Key
}

// NewDirectory returns a directory of organisations, sorted by name. A key that several organisations have belongs to the first of them, so that
// all entry instances agree. SharedKeys returns such keys.
func NewDirectory(list []Organisation) *Directory {
	dy := &Directory{list: slices.Clone(list), keys: map[Key]OrganisationID{}}
	slices.SortStableFunc(dy.list, func(a, b Organisation) int { return cmp.Compare(a.ID, b.ID) })
	for _, og := range dy.list {
		for _, ky := range og.Keys {
			owner, taken := dy.keys[ky]
			switch {
			case !taken:
				dy.keys[ky] = og.ID
			case owner != og.ID:
				dy.sharedKeys = append(dy.sharedKeys, ky)
			}
		}
	}
	return dy
}

// List returns the organisations, sorted by name.
func (dy *Directory) List() []Organisation {
	if dy == nil {
		return nil
	}
	return dy.list
}

// SharedKeys returns the keys that are configured for several organisations.
func (dy *Directory) SharedKeys() []Key { return dy.sharedKeys }

// Find returns the organisation with an id, or nil if there is none.
func (dy *Directory) Find(id OrganisationID) *Organisation {
	if dy == nil {
		return nil
	}
	i, ok := slices.BinarySearchFunc(dy.list, id, func(og Organisation, id OrganisationID) int { return cmp.Compare(og.ID, id) })
	if !ok {
		return nil
	}
	return &dy.list[i]
}

// CallerOrganisation returns the organisation whose key came with a call to a queue. It is empty for a call without a key to a public queue. An
// unknown key is rejected at public queues too, because its caller expects to be recognised.
func (dy *Directory) CallerOrganisation(qu *Queue, keyText string) (OrganisationID, error) {
	if keyText == "" {
		if qu.Public {
			return "", nil
		}
		return "", ErrNoKey
	}
	if dy == nil {
		return "", ErrNoKey
	}
	id, known := dy.keys[NewKey(keyText)]
	if !known {
		return "", ErrNoKey
	}
	return id, nil
}

// MayAccess reports whether a caller may read, resubmit or cancel a job: the job must belong to the caller's organisation. A job submitted without
// a key is accessible to every caller of its queue.
func MayAccess(caller, owner OrganisationID) bool { return owner == "" || caller == owner }

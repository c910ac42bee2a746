package bvtunnel

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

// Key is a shared key of the group.
type Key [16]byte

// Keys holds the current and the previous key. Packets are signed with Current
// and accepted with either, so that a changed file need not reach all balancers
// at the same time.
type Keys struct {
	Current     Key
	Previous    Key
	HasPrevious bool
}

// ErrKey is returned for a file that holds neither 16 bytes nor 32
// hexadecimal digits.
var ErrKey = errors.New("bvtunnel: key file holds neither 16 bytes nor 32 hexadecimal digits")

// KeyFile is a KeySource that reads the shared key from a file. Refresh rereads
// the file when it has changed.
type KeyFile struct {
	path string
	keys atomic.Pointer[Keys]

	mu       sync.Mutex
	modified time.Time
	size     int64
}

// NewKeyFile returns a KeyFile that has read path.
func NewKeyFile(path string) (*KeyFile, error) {
	f := &KeyFile{path: path}
	if _, err := f.Refresh(); err != nil {
		return nil, err
	}
	return f, nil
}

// Keys implements KeySource.
func (f *KeyFile) Keys() *Keys { return f.keys.Load() }

// Refresh reads the file if its modification time or size has changed and
// reports whether the key has changed. On an error the keys stay as they are.
func (f *KeyFile) Refresh() (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, err := os.Stat(f.path)
	if err != nil {
		return false, eris.Wrap(err, "bvtunnel: reading key file")
	}
	if f.keys.Load() != nil && s.ModTime().Equal(f.modified) && s.Size() == f.size {
		return false, nil
	}
	b, err := os.ReadFile(f.path)
	if err != nil {
		return false, eris.Wrap(err, "bvtunnel: reading key file")
	}
	k, err := parseKey(b)
	if err != nil {
		return false, err
	}
	f.modified, f.size = s.ModTime(), s.Size()
	old := f.keys.Load()
	if old != nil && old.Current == k {
		return false, nil
	}
	next := &Keys{Current: k}
	if old != nil {
		next.Previous, next.HasPrevious = old.Current, true
	}
	f.keys.Store(next)
	return true, nil
}

func parseKey(b []byte) (Key, error) {
	if len(b) == len(Key{}) {
		return Key(b), nil
	}
	t := bytes.TrimSpace(b)
	var k Key
	if len(t) != hex.EncodedLen(len(k)) {
		return Key{}, ErrKey
	}
	if _, err := hex.Decode(k[:], t); err != nil {
		return Key{}, ErrKey
	}
	return k, nil
}

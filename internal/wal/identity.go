package wal

import (
	"crypto/rand"
	"encoding/binary"
	"hash/crc32"
	"path/filepath"
)

const (
	identityName  = "identity"
	identityMagic = "auburnid"
	lockName      = "lock"
	// memberIDMask limits drawn IDs to 53 bits, which JSON tools read exactly.
	memberIDMask = 1<<53 - 1
)

// Identity says whose state a folder holds. The member ID is drawn when the
// folder is first used and is never reused: a member that lost its folder
// returns with a new ID.
type Identity struct {
	Cluster string
	Member  uint64
}

// randomID draws a member ID.
func randomID() (uint64, error) {
	for {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return 0, err
		}
		if id := binary.LittleEndian.Uint64(b[:]) & memberIDMask; id != 0 {
			return id, nil
		}
	}
}

func encodeIdentity(id Identity) []byte {
	b := binary.AppendUvarint([]byte(identityMagic), id.Member)
	b = binary.AppendUvarint(b, uint64(len(id.Cluster)))
	b = append(b, id.Cluster...)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func decodeIdentity(b []byte) (id Identity, ok bool) {
	b, ok = checked(b, identityMagic)
	if !ok {
		return id, false
	}
	p := &parser{b: b}
	id.Member = p.uvarint()
	id.Cluster = string(p.bytes(p.uvarint()))
	return id, !p.bad && len(p.b) == 0 && id.Member != 0
}

// readIdentity loads the identity and compares the cluster.
func (l *Log) readIdentity(cluster string) error {
	path := filepath.Join(l.dir, identityName)
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	id, ok := decodeIdentity(b)
	if !ok {
		return &CorruptError{File: path, Reason: "bad checksum"}
	}
	if id.Cluster != cluster {
		return Error.New("%w: folder %s, cluster %q, not %q", ErrCluster, l.dir, id.Cluster, cluster)
	}
	l.identity = id
	return nil
}

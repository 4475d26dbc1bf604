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
	// memberIDMask limits random member IDs to 53 bits, which tools that read JSON
	// numbers as 64-bit floats represent exactly.
	memberIDMask = 1<<53 - 1
)

// Identity names the cluster and the member whose state a data directory holds.
// The member ID is generated when the directory is first used and is never
// reused: a member that lost its directory returns with a new ID.
type Identity struct {
	Cluster string
	Member  uint64
}

// randomMemberID returns a random member ID other than 0.
func randomMemberID() (uint64, error) {
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
	b, ok = verifiedBody(b, identityMagic)
	if !ok {
		return id, false
	}
	p := &parser{b: b}
	id.Member = p.uvarint()
	id.Cluster = string(p.bytes(p.uvarint()))
	return id, !p.malformed && len(p.b) == 0 && id.Member != 0
}

// readIdentity loads the identity. It returns ErrClusterMismatch if the identity
// belongs to another cluster.
func (l *Log) readIdentity(cluster string) error {
	path := filepath.Join(l.dir, identityName)
	b, err := l.fs.ReadFile(path)
	if err != nil {
		return Error.Wrap(err)
	}
	id, ok := decodeIdentity(b)
	if !ok {
		return &CorruptError{File: path, Reason: "invalid format or checksum"}
	}
	if id.Cluster != cluster {
		return Error.New("%w: %s belongs to cluster %q, not %q", ErrClusterMismatch, l.dir, id.Cluster, cluster)
	}
	l.identity = id
	return nil
}

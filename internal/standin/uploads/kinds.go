package uploads

import "time"

const (
	// LegalBytes is the largest body that callers may send by the users' documents.
	LegalBytes = 4 << 20
	// announcedBytes is what clients announce that ignore the limit, sentBytes what they send.
	announcedBytes = 1 << 30
	sentBytes      = 64 << 20
	// beyondBytes is more than the documents allow, and less than readers may have as a bound of their own.
	beyondBytes = 15 << 20
	// smallBytes is the size of a small body.
	smallBytes = 1000
	// largeChunk and smallChunk are sizes of chunks; a body in small ones has smallChunksBytes.
	largeChunk       = 1 << 20
	smallChunk       = 16
	smallChunksBytes = 2 << 20
	// pieceBytes is sent at a time, with piecePause after it, where a body is sent piece by piece.
	pieceBytes = 64 << 10
	piecePause = 2 * time.Millisecond
	// wholeEvery is which of the clients end their bodies; the others stop just short of it.
	wholeEvery = 4
)

// Kind is one way in which the clients of a crowd misbehave.
type Kind struct {
	Name   string
	Upload func(client int) Upload
}

// Kinds returns the ways that are known to have ended processes.
func Kinds() []Kind {
	return []Kind{
		{"chunked in large chunks", func(n int) Upload {
			return Upload{Size: LegalBytes, Piece: largeChunk, Unfinished: missing(n) > 0}
		}},
		{"chunked in very small chunks", func(n int) Upload {
			return Upload{Size: smallChunksBytes, Piece: smallChunk, Unfinished: missing(n) > 0}
		}},
		{"far over the limit, announced", func(int) Upload {
			return Upload{Length: announcedBytes, Size: sentBytes, Piece: largeChunk}
		}},
		{"far over the limit, just sent", func(int) Upload {
			return Upload{Size: sentBytes, Piece: largeChunk}
		}},
		{"somewhat over the limit, announced only", func(int) Upload {
			return Upload{Length: beyondBytes, Piece: 1}
		}},
		{"somewhat over the limit, at once", func(int) Upload {
			return Upload{Length: beyondBytes, Size: beyondBytes - 1, Piece: largeChunk}
		}},
		{"small, a byte short of the end", func(int) Upload {
			return Upload{Length: smallBytes, Size: smallBytes - 1, Piece: smallBytes - 1}
		}},
		{"of legal size, at once", func(n int) Upload {
			return Upload{Length: LegalBytes, Size: LegalBytes - missing(n), Piece: LegalBytes - 1}
		}},
		{"of legal size, piece by piece", func(n int) Upload {
			return Upload{Length: LegalBytes, Size: LegalBytes - missing(n), Piece: pieceBytes, Pause: piecePause}
		}},
	}
}

// missing returns how many bytes a client leaves out at the end of its body.
func missing(client int) int {
	if client%wholeEvery == 0 {
		return 0
	}
	return 1
}

package declaration

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashCredential gives a bearer token's form in a declaration.
func HashCredential(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

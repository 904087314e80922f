package labkeys

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// TokenKeys returns the session token keys of a keys folder. The first key signs new tokens; all keys verify tokens.
func TokenKeys(folder string) ([][]byte, error) {
	b, err := os.ReadFile(filepath.Join(folder, tokenFile))
	if err != nil {
		return nil, errors.Newf("read token keys: %w", err)
	}

	var keys [][]byte

	for _, line := range strings.Fields(string(b)) {
		key, err := hex.DecodeString(line)
		if err != nil || len(key) != tokenKeyBytes {
			return nil, errors.Newf("token key file %s: each line must be %d bytes in hexadecimal", folder, tokenKeyBytes)
		}

		keys = append(keys, key)
	}

	if len(keys) == 0 {
		return nil, errors.Newf("token key file in %s is empty", folder)
	}

	return keys, nil
}

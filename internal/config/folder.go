package config

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// fileSuffix is the suffix of configuration files, in any case.
const fileSuffix = ".json"

// ReadFolder returns the configuration files of a folder in byte order of
// their names: all entries that end in .json. The suffix may be in any case, so
// that Build can report a bad name. Entries that start with a dot or have another
// suffix are left out, and other folders inside are not read. A file larger than
// MaxTotalBytes is truncated one byte past the limit, and Build rejects it.
func ReadFolder(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "read configuration folder")
	}
	var files []File
	for _, entry := range entries {
		if !isConfigurationName(entry.Name()) {
			continue
		}
		data, err := readBounded(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, eris.Wrapf(err, "read configuration file %s", entry.Name())
		}
		files = append(files, File{Name: entry.Name(), Data: data})
	}
	return sortedCopy(files), nil
}

func isConfigurationName(name string) bool {
	return !strings.HasPrefix(name, ".") && strings.HasSuffix(strings.ToLower(name), fileSuffix)
}

func readBounded(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	return io.ReadAll(io.LimitReader(file, MaxTotalBytes+1))
}

package config

import (
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/rotisserie/eris"
)

// fileSuffix marks the files of a folder that belong to the configuration.
const fileSuffix = ".json"

// ReadFolder returns the configuration files of a folder in byte order of
// their names: all entries that end in .json, whatever the case of the suffix,
// so that Build reports a bad name. Entries that start with a dot and entries
// with another suffix are left out; folders inside are not entered. A file
// over MaxTotalBytes is cut one byte beyond it, which Build reports.
func ReadFolder(dir string) ([]File, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, eris.Wrap(err, "read the configuration folder")
	}
	var files []File
	for _, entry := range entries {
		if !isConfigurationName(entry.Name()) {
			continue
		}
		data, err := readBounded(filepath.Join(dir, entry.Name()))
		if err != nil {
			return nil, eris.Wrapf(err, "read the configuration file %s", entry.Name())
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

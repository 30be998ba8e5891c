package standin

import (
	"context"
	"encoding/json"
	"os"
	"slices"
	"time"

	"boragefall/internal/config"
	"boragefall/internal/host"
)

// folderPoll is the interval of looks at the folder on disk.
const folderPoll = 200 * time.Millisecond

// WatchFolder publishes a folder and a host list file from disk whenever they
// change, until the context ends. Errors are passed to report.
func (p *Platform) WatchFolder(ctx context.Context, folder, hostsFile string, report func(error)) {
	ticker := time.NewTicker(folderPoll)
	defer ticker.Stop()
	var lastHosts []host.Listing
	for {
		if files, err := config.ReadFolder(folder); err != nil {
			report(err)
		} else if p.Revision() == 0 || !sameFiles(files, p.Files()) {
			p.Publish(files)
		}
		if hosts, err := readHosts(hostsFile); err != nil {
			report(err)
		} else if !slices.Equal(hosts, lastHosts) {
			lastHosts = hosts
			p.SetHosts(hosts)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func readHosts(path string) ([]host.Listing, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var hosts []host.Listing
	err = json.Unmarshal(data, &hosts)
	return hosts, err
}

func sameFiles(a, b []config.File) bool {
	return config.ManifestOf(a).Hash() == config.ManifestOf(b).Hash()
}

package configservice

import (
	"context"
	"errors"
	"net/url"
	"strconv"

	"github.com/rotisserie/eris"

	"boragefall/internal/config"
)

// readValues fetches the listed files that are missing in cache and then lists the
// folder again. It repeats this until both listings are equal, because only then do all
// files belong to one revision.
func (c *Client) readValues(ctx context.Context, first *listing, cache fileCache) (*Folder, error) {
	for range c.cfg.ListingTries {
		folder, err := c.fetchFiles(ctx, first, cache)
		if err != nil && !errors.Is(err, ErrMismatch) {
			return nil, err
		}
		second, listErr := c.fetchListing(ctx, pathList, 0)
		if listErr != nil {
			return nil, listErr
		}
		if second == nil {
			return nil, eris.Wrap(ErrMalformed, "listing has no body")
		}
		if err == nil && first.equal(second) {
			return folder, nil
		}
		first = second
	}
	return nil, eris.Wrapf(ErrInconsistent, "gave up after %d attempts", c.cfg.ListingTries)
}

func (c *Client) fetchFiles(ctx context.Context, l *listing, cache fileCache) (*Folder, error) {
	folder := &Folder{Revision: l.Revision, Files: make([]config.File, 0, len(l.Entries))}
	for _, entry := range l.Entries {
		hash, err := entry.hash()
		if err != nil {
			return nil, err
		}
		data, ok := cache[hash]
		if !ok {
			if data, err = c.fetchValue(ctx, entry, hash); err != nil {
				return nil, err
			}
			cache[hash] = data
		}
		folder.Files = append(folder.Files, config.File{Name: entry.Name, Data: data})
	}
	return folder, nil
}

func (c *Client) fetchValue(ctx context.Context, entry listingEntry, want config.Hash) ([]byte, error) {
	a, err := c.get(ctx, pathValue+url.PathEscape(entry.Name), 0, maxValueBytes)
	if err != nil {
		return nil, err
	}
	if a.revision != strconv.FormatUint(entry.Revision, 10) || config.HashOf(a.body) != want {
		return nil, eris.Wrapf(ErrMismatch, "%q at revision %s", entry.Name, a.revision)
	}
	return a.body, nil
}

package store

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
)

// Layout of a bbolt file's first two pages, each a header and a meta record.
// pageSize is set when the file is created, so that it is the same on each machine.
const (
	pageSize            = 4096
	pageHeaderBytes     = 16
	metaChecksumOffset  = 56
	metaPageCountOffset = 40
	metaTxidOffset      = 48
	metaBytes           = metaChecksumOffset + 8
	metaMagic           = 0xED0CDAED
	metaPages           = 2
	// maxPages bounds the page count that is read, so that the size in bytes can't overflow.
	maxPages = 1 << 40 / pageSize
)

// checkPages detects damage that bbolt would not report.
//
// If one of its two meta pages is damaged, bbolt silently uses the other, which is
// one transaction older: a synced vote or acknowledgement would be undone. So a page
// may be unreadable only if the other one is the newest that was synced: the power failed
// while the next transaction was written. Pages beyond the end of a truncated file cause
// a memory fault when read.
func checkPages(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return Failed.Wrap(err, "open")
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return Failed.Wrap(err, "stat")
	}
	_, newestSynced := readSynced(filepath.Join(filepath.Dir(path), syncedName))
	newestWhole, damage := uint64(0), error(nil)
	for page := int64(0); page < metaPages; page++ {
		txid, err := checkMetaPage(f, page, info.Size())
		switch {
		case err == nil:
			newestWhole = max(newestWhole, txid)
		case errorx.IsOfType(err, Failed):
			return err
		case damage != nil || !errorx.IsOfType(err, tornPage):
			return Corrupt.Wrap(err, "meta page %d", page)
		default:
			damage = err
		}
	}
	if damage != nil && (newestSynced == 0 || newestSynced > newestWhole) {
		return Corrupt.Wrap(damage, "transaction %d was synced, %d is the newest that is whole", newestSynced, newestWhole)
	}
	return nil
}

// checkMetaPage returns the transaction of a meta page. Errors: Failed, tornPage, Corrupt.
func checkMetaPage(f io.ReaderAt, page, size int64) (uint64, error) {
	buf := make([]byte, metaBytes)
	if _, err := f.ReadAt(buf, page*pageSize+pageHeaderBytes); err != nil {
		if refusedByDisk(err) {
			return 0, Failed.Wrap(err, "meta page %d", page)
		}
		return 0, Corrupt.Wrap(err, "meta page %d", page)
	}
	sum := fnv.New64a()
	_, _ = sum.Write(buf[:metaChecksumOffset])
	if binary.NativeEndian.Uint32(buf) != metaMagic ||
		binary.NativeEndian.Uint64(buf[metaChecksumOffset:]) != sum.Sum64() {
		return 0, tornPage.New("checksum mismatch in meta page %d", page)
	}
	pages := binary.NativeEndian.Uint64(buf[metaPageCountOffset:])
	if pages > maxPages || size < int64(pages)*pageSize {
		return 0, Corrupt.New("file truncated: it has %d bytes, but %d pages are in use", size, pages)
	}
	return binary.NativeEndian.Uint64(buf[metaTxidOffset:]), nil
}

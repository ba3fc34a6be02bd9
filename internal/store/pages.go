package store

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
)

// Layout of a bbolt file's first two pages, each a header and a meta record.
// pageSize is set when the file is created, so that it is the same on each machine.
const (
	pageSize            = 4096
	pageHeaderBytes     = 16
	metaChecksumOffset  = 56
	metaPageCountOffset = 40
	metaBytes           = metaChecksumOffset + 8
	metaMagic           = 0xED0CDAED
	metaPages           = 2
	// maxPages bounds the page count that is read, so that the size in bytes can't overflow.
	maxPages = 1 << 40 / pageSize
)

// checkPages detects damage that bbolt would not report.
//
// If one of its two meta pages is damaged, bbolt silently uses the other, which is
// one transaction older: a synced vote or acknowledgement would be undone. Pages
// beyond the end of a truncated file cause a memory fault when read. A crash does
// not damage a meta page, since a record of 64 bytes lies in one sector.
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
	for page := int64(0); page < metaPages; page++ {
		if err := checkMetaPage(f, page, info.Size()); err != nil {
			return err
		}
	}
	return nil
}

func checkMetaPage(f io.ReaderAt, page, size int64) error {
	buf := make([]byte, metaBytes)
	if _, err := f.ReadAt(buf, page*pageSize+pageHeaderBytes); err != nil {
		if refusedByDisk(err) {
			return Failed.Wrap(err, "meta page %d", page)
		}
		return Corrupt.Wrap(err, "meta page %d", page)
	}
	sum := fnv.New64a()
	_, _ = sum.Write(buf[:metaChecksumOffset])
	if binary.NativeEndian.Uint32(buf) != metaMagic ||
		binary.NativeEndian.Uint64(buf[metaChecksumOffset:]) != sum.Sum64() {
		return Corrupt.New("checksum mismatch in meta page %d", page)
	}
	pages := binary.NativeEndian.Uint64(buf[metaPageCountOffset:])
	if pages > maxPages || size < int64(pages)*pageSize {
		return Corrupt.New("file truncated: it has %d bytes, but %d pages are in use", size, pages)
	}
	return nil
}

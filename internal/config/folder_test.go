package config_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"boragefall/internal/config"
)

var _ = Describe("ReadFolder", func() {
	It("reads the JSON files in byte order and leaves out the rest", func() {
		dir := GinkgoT().TempDir()
		for _, name := range []string{"9.json", "10.json", "B.JSON", ".hidden.json", "README.md", "a.json~"} {
			Expect(os.WriteFile(filepath.Join(dir, name), []byte(name), 0o600)).To(Succeed())
		}
		Expect(os.Mkdir(filepath.Join(dir, "old"), 0o700)).To(Succeed())
		Expect(config.ReadFolder(dir)).To(Equal(filesFrom("10.json", "10.json", "9.json", "9.json", "B.JSON", "B.JSON")))
	})

	It("returns an error if the folder or a file can't be read", func() {
		dir := GinkgoT().TempDir()
		_, err := config.ReadFolder(filepath.Join(dir, "none"))
		Expect(err).To(MatchError(os.ErrNotExist))
		Expect(os.Mkdir(filepath.Join(dir, "a.json"), 0o700)).To(Succeed())
		_, err = config.ReadFolder(dir)
		Expect(err).To(MatchError(ContainSubstring("a.json")))
	})

	It("reads no more of a file than Build needs to reject it", func() {
		dir := GinkgoT().TempDir()
		Expect(os.WriteFile(filepath.Join(dir, "a.json"), make([]byte, 3*config.MaxTotalBytes), 0o600)).To(Succeed())
		files, err := config.ReadFolder(dir)
		Expect(err).NotTo(HaveOccurred())
		Expect(files[0].Data).To(HaveLen(config.MaxTotalBytes + 1))
	})
})

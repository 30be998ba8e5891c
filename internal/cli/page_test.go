package cli_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const operatorsPage = "../../docs/operators/configuration-folder.md"

var (
	consoleBlock = regexp.MustCompile("(?s)```console\n(.*?)```")
	heredoc      = regexp.MustCompile(`(?s)^cat > (\S+) <<'END'\n(.*)END\n$`)
)

// perform runs one command of the page, with the page's paths mapped, and
// returns what the page should print after it.
func perform(ctx SpecContext, command string, mapPaths *strings.Replacer) string {
	if file := heredoc.FindStringSubmatch(command); file != nil {
		Expect(os.WriteFile(mapPaths.Replace(file[1]), []byte(file[2]), 0o600)).To(Succeed())
		return ""
	}
	line, _, _ := strings.Cut(command, "\n")
	words := strings.Fields(mapPaths.Replace(line))
	switch words[0] {
	case "cp":
		Expect(os.CopyFS(words[3], os.DirFS(words[2]))).To(Succeed())
	case "rm":
		Expect(os.Remove(words[1])).To(Succeed())
	case "boragefall":
		got := run(ctx, words[1:]...)
		return got.out + got.err
	default:
		Fail("the page uses a command that this test does not know: " + line)
	}
	return ""
}

var _ = Describe("The operators' page on the configuration folder", func() {
	It("shows what its commands print", func(ctx SpecContext) {
		page, err := os.ReadFile(operatorsPage)
		Expect(err).NotTo(HaveOccurred())
		mapPaths := strings.NewReplacer("/tmp/fyrnet", filepath.Join(GinkgoT().TempDir(), "fyrnet"), "examples/fyrnet", fyrnet)
		commands := 0
		for _, block := range consoleBlock.FindAllStringSubmatch(string(page), -1) {
			for _, command := range strings.Split("\n"+block[1], "\n$ ")[1:] {
				command = strings.TrimSuffix(command, "\n") + "\n"
				_, shown, _ := strings.Cut(command, "\n")
				if heredoc.MatchString(command) {
					shown = ""
				}
				Expect(perform(ctx, command, mapPaths)).To(Equal(shown), command)
				commands++
			}
		}
		Expect(commands).To(Equal(10))
	})
})

package document

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/juju/errors"
)

// ErrInvalid says that a document does not parse or breaks a rule; the text gives place and reason.
const ErrInvalid = errors.ConstError("document: invalid")

// MaxSize is the largest document in bytes that Parse takes.
const MaxSize = 16 << 20

// Parse reads a YAML document; name is used in errors, which give line, column and reason.
func Parse(name string, data []byte) (*Document, error) {
	if len(data) > MaxSize {
		return nil, errors.Annotatef(ErrInvalid, "%s: more than %d bytes", name, MaxSize)
	}
	if nesting(data) > maxNesting {
		return nil, errors.Annotatef(ErrInvalid, "%s: brackets are nested deeper than %d", name, maxNesting)
	}
	var doc Document
	if err := decode(data, &doc); err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%s: %s", name, shortened(strings.TrimSpace(yaml.FormatError(err, false, true))))
	}
	if err := doc.checkReferences(); err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%s: %v", name, err)
	}
	return &doc, nil
}

// maxLine is the number of characters of a line of a document that an error shows.
const maxLine = 200

// shortened cuts the long lines of a message, which quotes the document.
func shortened(text string) string {
	lines := strings.Split(text, "\n")
	for idx, line := range lines {
		if chrs := []rune(line); len(chrs) > maxLine {
			lines[idx] = string(chrs[:maxLine]) + "..."
		}
	}
	return strings.Join(lines, "\n")
}

// maxNesting bounds the nesting of brackets. The time of the YAML library grows with its square: 100,000
// open brackets took 33 s. A document needs three levels; brackets within texts count too.
const maxNesting = 100

// nesting returns the most brackets that are open at any place.
func nesting(data []byte) int {
	depth, most := 0, 0
	for _, chr := range data {
		switch chr {
		case '[', '{':
			depth++
			most = max(most, depth)
		case ']', '}':
			depth = max(0, depth-1)
		}
	}
	return most
}

// decode reads YAML strictly; the library panics on some malformed texts, which is an error like others.
func decode(data []byte, doc *Document) (err error) {
	defer func() {
		if val := recover(); val != nil {
			err = fmt.Errorf("the YAML is malformed: %v", val)
		}
	}()
	return yaml.NewDecoder(bytes.NewReader(data), yaml.Strict(), yaml.Validator(validator.New())).Decode(doc)
}

// checkReferences checks that groups name models and zones of the same document.
func (doc *Document) checkReferences() error {
	zones := map[string]bool{}
	for _, azn := range doc.AvailabilityZones {
		zones[azn.Name] = true
	}
	models := map[string]bool{}
	for _, mod := range doc.Models {
		models[mod.Name] = true
	}
	for _, grp := range doc.Groups {
		if !zones[grp.AvailabilityZone] {
			return fmt.Errorf("group %s: availability zone %s is not in the document", grp.Name, grp.AvailabilityZone)
		}
		if !models[grp.Model] {
			return fmt.Errorf("group %s: model %s is not in the document", grp.Name, grp.Model)
		}
	}
	return nil
}

// Part is one named piece of a document, addressed by the digest of its content.
type Part struct {
	// Name is the section and the name of the entry, such as "Models/lap-recipes".
	Name   string
	Digest string
	Value  []byte
}

// Parts splits the document into one part for each entry, ordered by name, so that documents which
// differ only in the order of their entries have the same digest.
func (doc *Document) Parts() []Part {
	var pts []Part
	pts = appendParts(pts, "AvailabilityZones", doc.AvailabilityZones, func(val AvailabilityZone) string { return val.Name })
	pts = appendParts(pts, "Models", doc.Models, func(val Model) string { return val.Name })
	pts = appendParts(pts, "Groups", doc.Groups, func(val Group) string { return val.Name })
	pts = appendParts(pts, "Services", doc.Services, func(val Service) string { return val.Name })
	pts = appendParts(pts, "Workspaces", doc.Workspaces, func(val Workspace) string { return val.Name })
	pts = appendParts(pts, "ServiceLevels", doc.ServiceLevels, func(val ServiceLevel) string { return val.Name })
	sort.Slice(pts, func(fst, snd int) bool { return pts[fst].Name < pts[snd].Name })
	return pts
}

func appendParts[T any](pts []Part, section string, entries []T, name func(T) string) []Part {
	for _, ent := range entries {
		// Marshalling plain structs of strings, numbers and slices cannot fail.
		val, _ := json.Marshal(ent)
		pts = append(pts, Part{
			Name:   section + "/" + name(ent),
			Digest: digest(val),
			Value:  val,
		})
	}
	return pts
}

// Digest returns the document's digest: the hash of its parts' names and digests, in the order of Parts.
func Digest(pts []Part) string {
	hsh := sha256.New()
	for _, prt := range pts {
		fmt.Fprintf(hsh, "%s %s\n", prt.Name, prt.Digest)
	}
	return hex.EncodeToString(hsh.Sum(nil))
}

// Join makes a document of its parts, checking each part's digest.
func Join(pts []Part) (*Document, error) {
	doc := &Document{}
	for _, prt := range pts {
		if digest(prt.Value) != prt.Digest {
			return nil, errors.Annotatef(ErrInvalid, "part %s: content does not match its digest", prt.Name)
		}
		section, _, _ := strings.Cut(prt.Name, "/")
		if err := doc.add(section, prt.Value); err != nil {
			return nil, errors.Annotatef(ErrInvalid, "part %s: %v", prt.Name, err)
		}
	}
	return doc, nil
}

func (doc *Document) add(section string, value []byte) error {
	switch section {
	case "AvailabilityZones":
		return appendEntry(&doc.AvailabilityZones, value)
	case "Models":
		return appendEntry(&doc.Models, value)
	case "Groups":
		return appendEntry(&doc.Groups, value)
	case "Services":
		return appendEntry(&doc.Services, value)
	case "Workspaces":
		return appendEntry(&doc.Workspaces, value)
	case "ServiceLevels":
		return appendEntry(&doc.ServiceLevels, value)
	default:
		return fmt.Errorf("unknown section")
	}
}

func appendEntry[T any](entries *[]T, value []byte) error {
	var ent T
	if err := json.Unmarshal(value, &ent); err != nil {
		return err
	}
	*entries = append(*entries, ent)
	return nil
}

func digest(val []byte) string {
	sum := sha256.Sum256(val)
	return hex.EncodeToString(sum[:])
}

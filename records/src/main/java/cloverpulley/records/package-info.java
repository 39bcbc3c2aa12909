/**
 * Records of the program itself: written once for all fronts into segments of compressed, checked blocks, with an index at the end of
 * each; and read again, whatever became of the files.
 */
package cloverpulley.records;

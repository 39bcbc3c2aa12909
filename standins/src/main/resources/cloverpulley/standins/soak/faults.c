/*
 * A library preloaded into a process under test. It steps the wall clock and makes system calls fail with errors that Linux documents for them.
 * The environment variable FAULT_CONTROL names the control file, which is mapped into memory: eight 64-bit words in native byte order.
 *
 *   0  step of the wall clock, nanoseconds
 *   1  ratio of socket calls that fail, per mille
 *   2  bit mask of the socket calls that fail, see CALL_*
 *   3  errno with which every call on the folder named by FAULT_FOLDER fails; 0 for none
 *   4  1 to make writes to files in the folder store half of the data and then fail
 *   5  seed of the random choice of calls that fail
 *   6  number of calls that were made to fail, written by this library
 */
#define _GNU_SOURCE
#include <dirent.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum { STEP, PER_MILLE, CALLS, FOLDER_ERROR, PARTIAL_WRITES, SEED, FAILED, WORDS = 8 };
enum { CALL_ACCEPT = 1, CALL_SOCKET = 2, CALL_CONNECT = 4, CALL_NONBLOCK = 8, CALL_READ = 16, CALL_WRITE = 32, CALL_OPTION = 64, CALL_BIND = 128 };

#define MAX_DESCRIPTORS 65536

static _Atomic int64_t no_faults[WORDS];
static _Atomic int64_t *control = no_faults;
static char folder[PATH_MAX];
static size_t folder_length;
static _Atomic uint64_t random_count;
static _Atomic unsigned char in_folder[MAX_DESCRIPTORS];

#define REAL(name) \
  static __typeof__(&name) real; \
  if (real == NULL) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void load_control(void) {
  const char *path = getenv("FAULT_CONTROL");
  const char *watched = getenv("FAULT_FOLDER");
  if (watched != NULL && strlen(watched) < sizeof folder) {
    strcpy(folder, watched);
    folder_length = strlen(folder);
  }
  int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
  if (file >= 0) {
    void *mapped = mmap(NULL, WORDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED) control = mapped;
    close(file);
  }
}

static int64_t control_word(int which) { return atomic_load_explicit(&control[which], memory_order_relaxed); }

/* splitmix64 over a counter: the seed and the order of the calls determine which calls fail. */
static uint64_t next_random(void) {
  uint64_t z = (uint64_t) control_word(SEED) + 0x9e3779b97f4a7c15ULL * (atomic_fetch_add(&random_count, 1) + 1);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

/* Decides whether this socket call fails, and sets errno to one of the given errors if it does. */
static int should_fail(int call, const int *errors, int count) {
  if ((control_word(CALLS) & call) == 0 || (int64_t) (next_random() % 1000) >= control_word(PER_MILLE)) return 0;
  atomic_fetch_add(&control[FAILED], 1);
  errno = errors[next_random() % (uint64_t) count];
  return 1;
}

#define SHOULD_FAIL(call, ...) should_fail(call, (const int[]) {__VA_ARGS__}, (int) (sizeof((const int[]) {__VA_ARGS__}) / sizeof(int)))

static int is_socket(int fd) {
  struct stat status;
  return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int path_should_fail(const char *path) {
  if (control_word(FOLDER_ERROR) == 0 || folder_length == 0 || path == NULL || strncmp(path, folder, folder_length) != 0) return 0;
  atomic_fetch_add(&control[FAILED], 1);
  errno = (int) control_word(FOLDER_ERROR);
  return 1;
}

static void track_descriptor(int fd, const char *path) {
  if (fd >= 0 && fd < MAX_DESCRIPTORS)
    atomic_store(&in_folder[fd], folder_length > 0 && path != NULL && strncmp(path, folder, folder_length) == 0);
}

/* ---- Wall clock ---- */

int clock_gettime(clockid_t clock, struct timespec *now) {
  REAL(clock_gettime);
  int result = real(clock, now);
  int64_t step = control_word(STEP);
  if (result == 0 && step != 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    int64_t nanos = now->tv_nsec + step % 1000000000;
    now->tv_sec += step / 1000000000 + (nanos >= 1000000000 ? 1 : nanos < 0 ? -1 : 0);
    now->tv_nsec = nanos >= 1000000000 ? nanos - 1000000000 : nanos < 0 ? nanos + 1000000000 : nanos;
  }
  return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
  (void) zone;
  struct timespec precise;
  int result = clock_gettime(CLOCK_REALTIME, &precise);
  now->tv_sec = precise.tv_sec;
  now->tv_usec = precise.tv_nsec / 1000;
  return result;
}

time_t time(time_t *now) {
  struct timespec precise;
  clock_gettime(CLOCK_REALTIME, &precise);
  if (now != NULL) *now = precise.tv_sec;
  return precise.tv_sec;
}

/* ---- Sockets ---- */

int accept(int fd, struct sockaddr *restrict from, socklen_t *restrict length) {
  REAL(accept);
  if (SHOULD_FAIL(CALL_ACCEPT, ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, ENETDOWN, EHOSTUNREACH, EINTR)) return -1;
  return real(fd, from, length);
}

int accept4(int fd, struct sockaddr *restrict from, socklen_t *restrict length, int flags) {
  REAL(accept4);
  if (SHOULD_FAIL(CALL_ACCEPT, ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, ENETDOWN, EHOSTUNREACH, EINTR)) return -1;
  return real(fd, from, length, flags);
}

int socket(int domain, int type, int protocol) {
  REAL(socket);
  if (domain != AF_UNIX && SHOULD_FAIL(CALL_SOCKET, EMFILE, ENFILE, ENOBUFS, ENOMEM, EACCES)) return -1;
  return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
  REAL(connect);
  if (SHOULD_FAIL(CALL_CONNECT, ECONNREFUSED, ENETUNREACH, EADDRNOTAVAIL, ETIMEDOUT, EAGAIN, EPERM, EINTR)) return -1;
  return real(fd, to, length);
}

int bind(int fd, const struct sockaddr *to, socklen_t length) {
  REAL(bind);
  if (SHOULD_FAIL(CALL_BIND, EADDRINUSE, ENOMEM, ENOBUFS)) return -1;
  return real(fd, to, length);
}

int listen(int fd, int backlog) {
  REAL(listen);
  if (SHOULD_FAIL(CALL_BIND, EADDRINUSE)) return -1;
  return real(fd, backlog);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
  REAL(setsockopt);
  if (SHOULD_FAIL(CALL_OPTION, ENOMEM, ENOBUFS, EINVAL)) return -1;
  return real(fd, level, name, value, length);
}

static int fcntl_with_fault(int (*real)(int, int, ...), int fd, int command, void *argument) {
  if (command == F_SETFL && (control_word(CALLS) & CALL_NONBLOCK) != 0 && is_socket(fd) && SHOULD_FAIL(CALL_NONBLOCK, ENOMEM, EPERM)) return -1;
  return real(fd, command, argument);
}

int fcntl(int fd, int command, ...) {
  REAL(fcntl);
  va_list arguments;
  va_start(arguments, command);
  void *argument = va_arg(arguments, void *);
  va_end(arguments);
  return fcntl_with_fault((int (*)(int, int, ...)) real, fd, command, argument);
}

int fcntl64(int fd, int command, ...) {
  REAL(fcntl64);
  va_list arguments;
  va_start(arguments, command);
  void *argument = va_arg(arguments, void *);
  va_end(arguments);
  return fcntl_with_fault((int (*)(int, int, ...)) real, fd, command, argument);
}

ssize_t read(int fd, void *to, size_t length) {
  REAL(read);
  if ((control_word(CALLS) & CALL_READ) != 0 && is_socket(fd) && SHOULD_FAIL(CALL_READ, ECONNRESET, ETIMEDOUT, ENOBUFS, ENOMEM, EINTR)) return -1;
  return real(fd, to, length);
}

/* ---- Files, and writes to files and sockets ---- */

static ssize_t write_half(int fd, const void *from, size_t length, ssize_t (*real)(int, const void *, size_t)) {
  if (length > 1) (void) !real(fd, from, length / 2);
  atomic_fetch_add(&control[FAILED], 1);
  errno = ENOSPC;
  return -1;
}

static int descriptor_should_fail(int fd) {
  if (fd < 0 || fd >= MAX_DESCRIPTORS || !atomic_load(&in_folder[fd]) || control_word(FOLDER_ERROR) == 0) return 0;
  atomic_fetch_add(&control[FAILED], 1);
  errno = (int) control_word(FOLDER_ERROR);
  return 1;
}

ssize_t write(int fd, const void *from, size_t length) {
  REAL(write);
  if (fd >= 0 && fd < MAX_DESCRIPTORS && atomic_load(&in_folder[fd])) {
    if (control_word(PARTIAL_WRITES) != 0) return write_half(fd, from, length, real);
    if (descriptor_should_fail(fd)) return -1;
  } else if ((control_word(CALLS) & CALL_WRITE) != 0 && is_socket(fd)
      && SHOULD_FAIL(CALL_WRITE, ECONNRESET, EPIPE, ENOBUFS, ENOMEM, ETIMEDOUT, EINTR)) {
    return -1;
  }
  return real(fd, from, length);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
  REAL(writev);
  if ((control_word(CALLS) & CALL_WRITE) != 0 && is_socket(fd)
      && SHOULD_FAIL(CALL_WRITE, ECONNRESET, EPIPE, ENOBUFS, ENOMEM, ETIMEDOUT, EINTR)) return -1;
  return real(fd, from, count);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t at) {
  REAL(pwrite64);
  if (descriptor_should_fail(fd)) return -1;
  return real(fd, from, length, at);
}

ssize_t pread64(int fd, void *to, size_t length, off64_t at) {
  REAL(pread64);
  if (descriptor_should_fail(fd)) return -1;
  return real(fd, to, length, at);
}

int open(const char *path, int flags, ...) {
  REAL(open);
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  if (path_should_fail(path)) return -1;
  int fd = real(path, flags, mode);
  track_descriptor(fd, path);
  return fd;
}

int open64(const char *path, int flags, ...) {
  REAL(open64);
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(arguments, mode_t) : 0;
  va_end(arguments);
  if (path_should_fail(path)) return -1;
  int fd = real(path, flags, mode);
  track_descriptor(fd, path);
  return fd;
}

int close(int fd) {
  REAL(close);
  track_descriptor(fd, NULL);
  return real(fd);
}

int closedir(DIR *directory) {
  REAL(closedir);
  track_descriptor(dirfd(directory), NULL);
  return real(directory);
}

int mkdir(const char *path, mode_t mode) {
  REAL(mkdir);
  return path_should_fail(path) ? -1 : real(path, mode);
}

int rename(const char *from, const char *to) {
  REAL(rename);
  return path_should_fail(to) ? -1 : real(from, to);
}

int unlink(const char *path) {
  REAL(unlink);
  return path_should_fail(path) ? -1 : real(path);
}

DIR *opendir(const char *path) {
  REAL(opendir);
  return path_should_fail(path) ? NULL : real(path);
}

/*
 * Preloaded into a process under test: steps its wall clock and has calls to the system fail as Linux documents they may.
 * Controlled by a file that FAULT_CONTROL names, mapped into memory: eight 64-bit words in the machine's byte order.
 *
 *   0  step of the wall clock, nanoseconds
 *   1  socket calls that fail, in parts of 1000
 *   2  bit mask of the socket calls concerned, see CALL_*
 *   3  errno of every call on the folder that FAULT_FOLDER names; 0 for none
 *   4  1 where a write to a file in the folder stores half and then fails
 *   5  seed of the choice which calls fail
 *   6  calls that were made to fail (written here)
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

enum { STEP, PARTS, CALLS, FOLDER_ERROR, HALF_WRITES, SEED, FAILED, WORDS = 8 };
enum { CALL_ACCEPT = 1, CALL_SOCKET = 2, CALL_CONNECT = 4, CALL_NONBLOCK = 8, CALL_READ = 16, CALL_WRITE = 32, CALL_OPTION = 64, CALL_BIND = 128 };

#define MAX_DESCRIPTORS 65536

static _Atomic int64_t none[WORDS];
static _Atomic int64_t *control = none;
static char folder[PATH_MAX];
static size_t folder_length;
static _Atomic uint64_t draws;
static _Atomic unsigned char in_folder[MAX_DESCRIPTORS];

#define REAL(name) \
  static __typeof__(&name) real; \
  if (real == NULL) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

__attribute__((constructor)) static void begin(void) {
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

static int64_t word(int which) { return atomic_load_explicit(&control[which], memory_order_relaxed); }

/* splitmix64 over a counter: which calls fail follows from the seed and their order. */
static uint64_t draw(void) {
  uint64_t z = (uint64_t) word(SEED) + 0x9e3779b97f4a7c15ULL * (atomic_fetch_add(&draws, 1) + 1);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
  return z ^ (z >> 31);
}

/* Whether this socket call fails; then errno is one of those given. */
static int fails(int call, const int *errors, int count) {
  if ((word(CALLS) & call) == 0 || (int64_t) (draw() % 1000) >= word(PARTS)) return 0;
  atomic_fetch_add(&control[FAILED], 1);
  errno = errors[draw() % (uint64_t) count];
  return 1;
}

#define FAILS(call, ...) fails(call, (const int[]) {__VA_ARGS__}, (int) (sizeof((const int[]) {__VA_ARGS__}) / sizeof(int)))

static int is_socket(int fd) {
  struct stat status;
  return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int folder_fails(const char *path) {
  if (word(FOLDER_ERROR) == 0 || folder_length == 0 || path == NULL || strncmp(path, folder, folder_length) != 0) return 0;
  atomic_fetch_add(&control[FAILED], 1);
  errno = (int) word(FOLDER_ERROR);
  return 1;
}

static void opened(int fd, const char *path) {
  if (fd >= 0 && fd < MAX_DESCRIPTORS)
    atomic_store(&in_folder[fd], folder_length > 0 && path != NULL && strncmp(path, folder, folder_length) == 0);
}

/* ---- The wall clock ---- */

int clock_gettime(clockid_t clock, struct timespec *now) {
  REAL(clock_gettime);
  int result = real(clock, now);
  int64_t step = word(STEP);
  if (result == 0 && step != 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    int64_t nanos = now->tv_nsec + step % 1000000000;
    now->tv_sec += step / 1000000000 + (nanos >= 1000000000 ? 1 : nanos < 0 ? -1 : 0);
    now->tv_nsec = nanos >= 1000000000 ? nanos - 1000000000 : nanos < 0 ? nanos + 1000000000 : nanos;
  }
  return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
  (void) zone;
  struct timespec exact;
  int result = clock_gettime(CLOCK_REALTIME, &exact);
  now->tv_sec = exact.tv_sec;
  now->tv_usec = exact.tv_nsec / 1000;
  return result;
}

time_t time(time_t *now) {
  struct timespec exact;
  clock_gettime(CLOCK_REALTIME, &exact);
  if (now != NULL) *now = exact.tv_sec;
  return exact.tv_sec;
}

/* ---- Sockets ---- */

int accept(int fd, struct sockaddr *restrict from, socklen_t *restrict length) {
  REAL(accept);
  if (FAILS(CALL_ACCEPT, ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, ENETDOWN, EHOSTUNREACH, EINTR)) return -1;
  return real(fd, from, length);
}

int accept4(int fd, struct sockaddr *restrict from, socklen_t *restrict length, int flags) {
  REAL(accept4);
  if (FAILS(CALL_ACCEPT, ECONNABORTED, EPROTO, EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, ENETDOWN, EHOSTUNREACH, EINTR)) return -1;
  return real(fd, from, length, flags);
}

int socket(int domain, int type, int protocol) {
  REAL(socket);
  if (domain != AF_UNIX && FAILS(CALL_SOCKET, EMFILE, ENFILE, ENOBUFS, ENOMEM, EACCES)) return -1;
  return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *to, socklen_t length) {
  REAL(connect);
  if (FAILS(CALL_CONNECT, ECONNREFUSED, ENETUNREACH, EADDRNOTAVAIL, ETIMEDOUT, EAGAIN, EPERM, EINTR)) return -1;
  return real(fd, to, length);
}

int bind(int fd, const struct sockaddr *to, socklen_t length) {
  REAL(bind);
  if (FAILS(CALL_BIND, EADDRINUSE, ENOMEM, ENOBUFS)) return -1;
  return real(fd, to, length);
}

int listen(int fd, int backlog) {
  REAL(listen);
  if (FAILS(CALL_BIND, EADDRINUSE)) return -1;
  return real(fd, backlog);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
  REAL(setsockopt);
  if (FAILS(CALL_OPTION, ENOMEM, ENOBUFS, EINVAL)) return -1;
  return real(fd, level, name, value, length);
}

static int change_flags(int (*real)(int, int, ...), int fd, int command, void *argument) {
  if (command == F_SETFL && (word(CALLS) & CALL_NONBLOCK) != 0 && is_socket(fd) && FAILS(CALL_NONBLOCK, ENOMEM, EPERM)) return -1;
  return real(fd, command, argument);
}

int fcntl(int fd, int command, ...) {
  REAL(fcntl);
  va_list all;
  va_start(all, command);
  void *argument = va_arg(all, void *);
  va_end(all);
  return change_flags((int (*)(int, int, ...)) real, fd, command, argument);
}

int fcntl64(int fd, int command, ...) {
  REAL(fcntl64);
  va_list all;
  va_start(all, command);
  void *argument = va_arg(all, void *);
  va_end(all);
  return change_flags((int (*)(int, int, ...)) real, fd, command, argument);
}

ssize_t read(int fd, void *to, size_t length) {
  REAL(read);
  if ((word(CALLS) & CALL_READ) != 0 && is_socket(fd) && FAILS(CALL_READ, ECONNRESET, ETIMEDOUT, ENOBUFS, ENOMEM, EINTR)) return -1;
  return real(fd, to, length);
}

/* ---- Files, and writing to both ---- */

static ssize_t half(int fd, const void *from, size_t length, ssize_t (*real)(int, const void *, size_t)) {
  if (length > 1) (void) !real(fd, from, length / 2);
  atomic_fetch_add(&control[FAILED], 1);
  errno = ENOSPC;
  return -1;
}

static int file_fails(int fd) {
  if (fd < 0 || fd >= MAX_DESCRIPTORS || !atomic_load(&in_folder[fd]) || word(FOLDER_ERROR) == 0) return 0;
  atomic_fetch_add(&control[FAILED], 1);
  errno = (int) word(FOLDER_ERROR);
  return 1;
}

ssize_t write(int fd, const void *from, size_t length) {
  REAL(write);
  if (fd >= 0 && fd < MAX_DESCRIPTORS && atomic_load(&in_folder[fd])) {
    if (word(HALF_WRITES) != 0) return half(fd, from, length, real);
    if (file_fails(fd)) return -1;
  } else if ((word(CALLS) & CALL_WRITE) != 0 && is_socket(fd) && FAILS(CALL_WRITE, ECONNRESET, EPIPE, ENOBUFS, ENOMEM, ETIMEDOUT, EINTR)) {
    return -1;
  }
  return real(fd, from, length);
}

ssize_t writev(int fd, const struct iovec *from, int count) {
  REAL(writev);
  if ((word(CALLS) & CALL_WRITE) != 0 && is_socket(fd) && FAILS(CALL_WRITE, ECONNRESET, EPIPE, ENOBUFS, ENOMEM, ETIMEDOUT, EINTR)) return -1;
  return real(fd, from, count);
}

ssize_t pwrite64(int fd, const void *from, size_t length, off64_t at) {
  REAL(pwrite64);
  if (file_fails(fd)) return -1;
  return real(fd, from, length, at);
}

ssize_t pread64(int fd, void *to, size_t length, off64_t at) {
  REAL(pread64);
  if (file_fails(fd)) return -1;
  return real(fd, to, length, at);
}

int open(const char *path, int flags, ...) {
  REAL(open);
  va_list all;
  va_start(all, flags);
  mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(all, mode_t) : 0;
  va_end(all);
  if (folder_fails(path)) return -1;
  int fd = real(path, flags, mode);
  opened(fd, path);
  return fd;
}

int open64(const char *path, int flags, ...) {
  REAL(open64);
  va_list all;
  va_start(all, flags);
  mode_t mode = (flags & (O_CREAT | O_TMPFILE)) != 0 ? va_arg(all, mode_t) : 0;
  va_end(all);
  if (folder_fails(path)) return -1;
  int fd = real(path, flags, mode);
  opened(fd, path);
  return fd;
}

int close(int fd) {
  REAL(close);
  opened(fd, NULL);
  return real(fd);
}

int closedir(DIR *directory) {
  REAL(closedir);
  opened(dirfd(directory), NULL);
  return real(directory);
}

int mkdir(const char *path, mode_t mode) {
  REAL(mkdir);
  return folder_fails(path) ? -1 : real(path, mode);
}

int rename(const char *from, const char *to) {
  REAL(rename);
  return folder_fails(to) ? -1 : real(from, to);
}

int unlink(const char *path) {
  REAL(unlink);
  return folder_fails(path) ? -1 : real(path);
}

DIR *opendir(const char *path) {
  REAL(opendir);
  return folder_fails(path) ? NULL : real(path);
}
